/// Stand-in for the platform's object API.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "standin_server.h"

namespace hawthorndrum {

/**
 * Keeps objects in memory, with versions, conditional writes and watches.
 *
 * Invariant: revision_ is the highest version of any object and of any change.
 */
class store_standin : public standin_server {
 public:
  explicit store_standin(boost::asio::io_context& io) : standin_server(io, "object-store") {}

 protected:
  void Handle(standin_reply reply, const http_request& message) override;
  nlohmann::json Stats() const override;

 private:
  struct object {
    std::string value;
    std::uint64_t version = 0;
  };
  struct change {
    std::string key;
    std::uint64_t version = 0;
    bool deleted = false;
  };
  struct watcher {
    std::uint64_t id = 0;
    std::string prefix;
    std::uint64_t after = 0;
    standin_reply reply;
  };

  void HandleObject(standin_reply reply, const http_request& message, const std::string& key);
  void Get(standin_reply reply, const std::string& key) const;
  void Put(standin_reply reply, const http_request& message, const std::string& key);
  void Remove(standin_reply reply, const http_request& message, const std::string& key);
  void List(standin_reply reply, const std::string& prefix) const;
  void Watch(standin_reply reply, const http_request& message);
  std::uint64_t Record(const std::string& key, bool deleted);
  bool AnswerWatch(watcher& waiting, bool even_if_empty);
  void WakeWatchers();

  std::map<std::string, object> objects_;
  std::vector<change> changes_;
  std::vector<watcher> watchers_;
  std::uint64_t revision_ = 0;
  std::uint64_t last_watcher_ = 0;
  /** Changes up to this revision have been compacted away. */
  std::uint64_t compacted_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
  std::uint64_t conflicts_ = 0;
  std::uint64_t watches_ = 0;
};

}  // namespace hawthorndrum
