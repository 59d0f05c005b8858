/// Stand-in for the platform's object API.
#include "store_standin.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "query.h"

namespace hawthorndrum {

namespace {

constexpr std::string_view kObjects = "/v1/objects/";
constexpr std::size_t kMaxValueSize = 1024 * 1024;
constexpr std::size_t kChangesKept = 20000;
constexpr std::uint64_t kMaxWatchMs = 60000;

std::vector<http_header> VersionHeader(std::uint64_t version) {
  return {{"ETag", "\"" + std::to_string(version) + "\""}};
}

std::uint64_t ReadVersion(std::string_view text) {
  if (text.size() < 2 || text.front() != '"' || text.back() != '"') return 0;
  std::uint64_t version = 0;
  std::from_chars(text.data() + 1, text.data() + text.size() - 1, version);
  return version;
}

}  // namespace

void store_standin::Handle(standin_reply reply, const http_request& message) {
  const std::string path(TargetPath(message.target));
  if (path.rfind(kObjects, 0) == 0) {
    return HandleObject(reply, message, path.substr(kObjects.size()));
  }
  if (path == "/v1/list") return List(reply, QueryValue(message.target, "prefix"));
  if (path == "/v1/watch") return Watch(reply, message);
  reply.Answer(404, "{}");
}

void store_standin::HandleObject(standin_reply reply, const http_request& message,
                                 const std::string& key) {
  if (message.method == "GET") {
    reads_ += 1;
    return Get(reply, key);
  }
  writes_ += 1;
  if (message.method == "PUT") return Put(reply, message, key);
  if (message.method == "DELETE") return Remove(reply, message, key);
  reply.Answer(405, "{}");
}

void store_standin::Get(standin_reply reply, const std::string& key) const {
  const auto found = objects_.find(key);
  if (found == objects_.end()) return reply.Answer(404, "{}");
  std::vector<http_header> headers = VersionHeader(found->second.version);
  headers.push_back({"Content-Type", "application/octet-stream"});
  reply.Answer(200, found->second.value, headers);
}

void store_standin::Put(standin_reply reply, const http_request& message, const std::string& key) {
  if (message.body.size() > kMaxValueSize) return reply.Answer(413, "{}");
  const auto found = objects_.find(key);
  const std::uint64_t present = found == objects_.end() ? 0 : found->second.version;
  const bool create = FindHeader(message.headers, "If-None-Match") == "*";
  const std::string_view match = FindHeader(message.headers, "If-Match");
  if (!create && match.empty()) return reply.Answer(428, "{}");
  const std::uint64_t wanted = create ? 0 : ReadVersion(match);
  if (present != wanted || (!create && wanted == 0)) {
    conflicts_ += 1;
    return reply.Answer(412, "{}", present ? VersionHeader(present) : std::vector<http_header>{});
  }
  const std::uint64_t version = Record(key, false);
  objects_[key] = {message.body, version};
  reply.Answer(create ? 201 : 200, "{}", VersionHeader(version));
  WakeWatchers();
}

void store_standin::Remove(standin_reply reply, const http_request& message,
                           const std::string& key) {
  const auto found = objects_.find(key);
  if (found == objects_.end()) return reply.Answer(404, "{}");
  if (found->second.version != ReadVersion(FindHeader(message.headers, "If-Match"))) {
    conflicts_ += 1;
    return reply.Answer(412, "{}", VersionHeader(found->second.version));
  }
  objects_.erase(found);
  Record(key, true);
  reply.Answer(204, "");
  WakeWatchers();
}

void store_standin::List(standin_reply reply, const std::string& prefix) const {
  nlohmann::json listed = nlohmann::json::array();
  for (auto it = objects_.lower_bound(prefix); it != objects_.end(); ++it) {
    if (it->first.rfind(prefix, 0) != 0) break;
    listed.push_back({{"key", it->first}, {"version", it->second.version}});
  }
  reply.Answer(200, nlohmann::json{{"revision", revision_}, {"objects", listed}}.dump());
}

void store_standin::Watch(standin_reply reply, const http_request& message) {
  watches_ += 1;
  watcher waiting;
  waiting.id = ++last_watcher_;
  waiting.prefix = QueryValue(message.target, "prefix");
  waiting.after = QueryNumber(message.target, "after", 0);
  waiting.reply = reply;
  if (waiting.after < compacted_) return reply.Answer(410, "{}");
  if (AnswerWatch(waiting, false)) return;
  const std::uint64_t wait =
      std::min(QueryNumber(message.target, "timeout_ms", kMaxWatchMs), kMaxWatchMs);
  After(milliseconds(wait), [this, id = waiting.id] {
    const auto found = std::find_if(watchers_.begin(), watchers_.end(),
                                    [id](const watcher& w) { return w.id == id; });
    if (found == watchers_.end()) return;
    AnswerWatch(*found, true);
    watchers_.erase(found);
  });
  watchers_.push_back(std::move(waiting));
}

std::uint64_t store_standin::Record(const std::string& key, bool deleted) {
  changes_.push_back({key, ++revision_, deleted});
  if (changes_.size() > 2 * kChangesKept) {
    compacted_ = changes_[kChangesKept - 1].version;
    changes_.erase(changes_.begin(), changes_.begin() + kChangesKept);
  }
  return revision_;
}

bool store_standin::AnswerWatch(watcher& waiting, bool even_if_empty) {
  nlohmann::json events = nlohmann::json::array();
  const auto first = std::upper_bound(
      changes_.begin(), changes_.end(), waiting.after,
      [](std::uint64_t after, const change& present) { return after < present.version; });
  for (auto it = first; it != changes_.end(); ++it) {
    if (it->key.rfind(waiting.prefix, 0) != 0) continue;
    events.push_back({{"key", it->key}, {"version", it->version}, {"deleted", it->deleted}});
  }
  if (events.empty() && !even_if_empty) return false;
  waiting.reply.Answer(200, nlohmann::json{{"revision", revision_}, {"events", events}}.dump());
  return true;
}

void store_standin::WakeWatchers() {
  const auto answered = [this](watcher& waiting) { return AnswerWatch(waiting, false); };
  watchers_.erase(std::remove_if(watchers_.begin(), watchers_.end(), answered), watchers_.end());
}

nlohmann::json store_standin::Stats() const {
  return {{"reads", reads_},
          {"writes", writes_},
          {"conflicts", conflicts_},
          {"watches", watches_},
          {"objects", objects_.size()},
          {"revision", revision_},
          {"waiting", watchers_.size()}};
}

}  // namespace hawthorndrum
