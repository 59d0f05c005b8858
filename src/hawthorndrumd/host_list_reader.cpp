/// Polls the platform's host list.
#include "host_list_reader.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/json_parts.h"
#include "base/yaml_fields.h"
#include "buffered_calls.h"
#include "ports/event_sink.h"
#include "ports/random_source.h"

namespace hawthorndrum {

namespace {

using nlohmann::json;

constexpr duration kInterval = milliseconds(1000);
constexpr duration kJitter = milliseconds(200);
constexpr duration kTimeout = seconds(2);
/** Some ten thousand hosts. */
constexpr std::size_t kLongestList = 8 * 1024 * 1024;

std::string ReadText(const json& item, const char* name) {
  const auto found = item.find(name);
  return found != item.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::optional<host_entry> ReadEntry(const json& item) {
  if (!item.is_object()) return std::nullopt;
  host_entry entry;
  entry.address = ReadText(item, "address");
  if (!IsAddress(entry.address)) return std::nullopt;
  const std::string kind = ReadText(item, "kind");
  if (kind == "engine") {
    entry.kind = host_kind::kEngine;
  } else if (kind == "service") {
    entry.kind = host_kind::kService;
  } else if (kind == "daemon") {
    entry.kind = host_kind::kDaemon;
  } else {
    return std::nullopt;
  }
  entry.pool = ReadText(item, "pool");
  entry.data_centre = ReadText(item, "data_centre");
  entry.leaving = ReadText(item, "state") == "leaving";
  const auto fencing = item.find("checks_fencing");
  // An engine that does not state that it checks fencing numbers is treated as one that does not.
  entry.checks_fencing = fencing != item.end() && fencing->is_boolean() && fencing->get<bool>();
  const auto incarnation = item.find("incarnation");
  if (incarnation != item.end() && incarnation->is_number_unsigned()) {
    entry.incarnation = incarnation->get<std::uint64_t>();
  }
  return entry;
}

}  // namespace

std::optional<std::vector<host_entry>> ReadHostList(std::string_view body) {
  const auto members = MembersOf(body);
  if (!members) return std::nullopt;
  const auto hosts = ElementsOf(ValueOf(*members, "hosts"));
  if (!hosts) return std::nullopt;
  std::vector<host_entry> entries;
  for (const std::string_view host : *hosts) {
    if (auto entry = ReadEntry(ReadJson(host))) entries.push_back(std::move(*entry));
  }
  return entries;
}

host_list_reader::host_list_reader(boost::asio::io_context& io, buffered_calls& calls,
                                   event_sink& events, random_source& random, std::string address)
    : timer_(io), calls_(calls), events_(events), random_(random), address_(std::move(address)) {}

void host_list_reader::Start() { Read(); }

void host_list_reader::Read() {
  http_call call;
  call.address = address_;
  call.request.method = "GET";
  call.request.target = "/v1/hosts";
  call.total_timeout = kTimeout;
  calls_.Start(std::move(call), kLongestList, [this](buffered_answer ended) {
    if (ended.received && ended.answer.status == 200) {
      if (auto hosts = ReadHostList(ended.answer.body))
        events_.Post(hosts_listed{std::move(*hosts)});
    }
    ScheduleNextRead();
  });
}

void host_list_reader::ScheduleNextRead() {
  const auto jitter = static_cast<std::uint64_t>(kJitter.count());
  timer_.expires_after(kInterval + duration(random_.Below(jitter)));
  timer_.async_wait([this](boost::system::error_code failed) {
    if (!failed) Read();
  });
}

}  // namespace hawthorndrum
