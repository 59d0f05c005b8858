/// Stand-in for the platform's host list.
#pragma once

#include <nlohmann/json.hpp>

#include "standin_server.h"

namespace hawthorndrum {

/**
 * Serves a host list that a test or the demo supplies.
 */
class host_list_standin : public standin_server {
 public:
  explicit host_list_standin(boost::asio::io_context& io) : standin_server(io, "host-list") {}

  void Replace(nlohmann::json hosts);

 protected:
  void Handle(standin_reply reply, const http_request& message) override;
  nlohmann::json Stats() const override;

 private:
  nlohmann::json hosts_ = {{"hosts", nlohmann::json::array()}};
  /** The list served to readers; it follows hosts_ with the configured lag. */
  nlohmann::json visible_hosts_ = {{"hosts", nlohmann::json::array()}};
  std::uint64_t reads_ = 0;
};

}  // namespace hawthorndrum
