/// Stand-in for a plain service's worker.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "standin_server.h"

namespace hawthorndrum {

/**
 * Echoes every call in its answer and counts the runs of each Idempotency-Key. It runs a repeated
 * key again, so that the count reveals duplicate execution.
 */
class service_standin : public standin_server {
 public:
  service_standin(boost::asio::io_context& io, std::string name, duration run_time)
      : standin_server(io, "service"), name_(std::move(name)), run_time_(run_time) {}

  /** Returns how many times the key ran. */
  std::uint64_t runs(const std::string& key) const;

 protected:
  void Handle(standin_reply reply, const http_request& message) override;
  nlohmann::json Stats() const override;

 private:
  void Lookup(standin_reply reply, const std::string& key) const;
  std::string Run(const http_request& message, const std::string& key);

  std::string name_;
  duration run_time_;
  std::map<std::string, std::uint64_t> runs_;
  std::map<std::string, std::string> answers_;
  std::uint64_t calls_ = 0;
};

}  // namespace hawthorndrum
