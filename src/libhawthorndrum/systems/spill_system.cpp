/// Sends requests to daemons of other data centres, and admits requests from them.
#include "systems/spill_system.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

#include "base/mac.h"
#include "base/metrics_registry.h"
#include "ports/random_source.h"
#include "systems/problem_answer.h"

namespace hawthorndrum {

namespace {

constexpr std::string_view kPurpose = "hawthorndrum spill 1";
constexpr std::size_t kMaxMarkBytes = 512;

boost::span<const std::uint8_t> AsBytes(std::string_view text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

std::string KeyOf(const service_config& service, const std::string& data_centre) {
  return service.name + "\n" + data_centre;
}

/** Whether the service allows spilling and the request may safely run twice. */
bool MayCross(const request_row& request) {
  return request.service->spill && request.service->repeatable && request.repeatable &&
         request.idempotency_key.empty() && !request.claim_held;
}

}  // namespace

spill_system::spill_system(spill_settings settings, std::string own_data_centre,
                           random_source& random, metrics_registry& metrics)
    : settings_(std::move(settings)),
      own_data_centre_(std::move(own_data_centre)),
      random_(random),
      sent_(metrics.Counter("hawthorndrum_spill_sent_total")),
      refused_(metrics.Counter("hawthorndrum_spill_refused_total")),
      admitted_(metrics.Counter("hawthorndrum_spill_admitted_total")),
      turned_away_(metrics.Counter("hawthorndrum_spill_turned_away_total")),
      crossing_(settings_.crossing, own_data_centre_, random) {}

void spill_system::OnHostList(boost::span<const host_entry> hosts) {
  if (settings_.callers_port.empty()) return;
  std::map<std::string, std::vector<std::string>> others;
  for (const host_entry& host : hosts) {
    if (host.kind != host_kind::kDaemon || host.leaving) continue;
    if (host.data_centre == own_data_centre_) continue;
    const std::string::size_type colon = host.address.rfind(':');
    if (colon == std::string::npos) continue;
    others[host.data_centre].push_back(host.address.substr(0, colon + 1) + settings_.callers_port);
  }
  if (!others.empty()) others_ = std::move(others);
}

std::optional<spill_target> spill_system::Choose(const request_row& request, time_point now) {
  if (settings_.key.empty() || others_.empty() || request.spilled || request.spill_tried) {
    return std::nullopt;
  }
  if (!MayCross(request) || request.answer_begun || request.offset > 0) return std::nullopt;
  if (request.body.size() > kMaxBodyBytes) return std::nullopt;
  // Here it would not be served at all, so that all its useful time is won.
  const double won_ms = ToSeconds(request.useful_by - now) * 1000;
  const auto bytes = static_cast<double>(request.body.size());
  auto at =
      std::next(others_.begin(), static_cast<std::ptrdiff_t>(random_.Draw() % others_.size()));
  for (std::size_t i = 0; i < others_.size(); ++i) {
    const auto& [data_centre, addresses] = *at;
    const std::string& service = request.service->name;
    const bool pays = crossing_.Pays(won_ms, bytes, service, data_centre);
    const double trust = crossing_.Trust(service, data_centre, now);
    if (pays &&
        outgoing_.Take(KeyOf(*request.service, data_centre), request.service->limits, trust, now)) {
      sent_.Add();
      return spill_target{data_centre, addresses[random_.Draw() % addresses.size()]};
    }
    if (++at == others_.end()) at = others_.begin();
  }
  return std::nullopt;
}

void spill_system::Ended(const service_config& service, const std::string& data_centre) {
  outgoing_.Release(KeyOf(service, data_centre));
}

void spill_system::Answered(const service_config& service, const std::string& data_centre,
                            duration taken, time_point now) {
  crossing_.OnAnswer(service.name, data_centre, crossing_.UsualTime(service.name, data_centre),
                     taken, now);
}

void spill_system::Refused(const service_config& service, const std::string& data_centre,
                           time_point now) {
  refused_.Add();
  crossing_.OnFailure(service.name, data_centre, now);
  outgoing_.Avoid(KeyOf(service, data_centre), now + kAvoidance);
}

std::string spill_system::Proof(const http_request& request, std::string_view origin) const {
  std::string text(kPurpose);
  const std::array<std::string_view, 4> parts = {origin, request.method, request.target,
                                                 request.body};
  for (const std::string_view part : parts) {
    text += '\n' + std::to_string(part.size()) + ' ';
    text += part;
  }
  const mac_value mac = HmacSha256(AsBytes(settings_.key), AsBytes(text));
  std::string proof;
  for (std::size_t i = 0; i < mac.size(); i += 8) {
    std::uint64_t word = 0;
    for (std::size_t k = 0; k < 8; ++k) word = word << 8 | mac[i + k];
    proof += ToHex(word);
  }
  return proof;
}

void spill_system::Mark(http_request& request, attempt_id attempt) const {
  const std::string origin = own_data_centre_ + "/" + ToHex(attempt.value());
  SetHeader(request.headers, kHeader, origin + " " + Proof(request, origin));
}

spill_origin spill_system::ExtractMark(http_request& request) const {
  const std::string mark(FindHeader(request.headers, kHeader));
  const auto is_mark = [](const http_header& header) {
    return !FindHeader({header}, kHeader).empty();
  };
  auto& headers = request.headers;
  headers.erase(std::remove_if(headers.begin(), headers.end(), is_mark), headers.end());
  if (mark.empty()) return spill_origin::kCaller;
  const std::string::size_type space = mark.rfind(' ');
  if (settings_.key.empty() || space == std::string::npos || mark.size() > kMaxMarkBytes ||
      request.body.size() > kMaxBodyBytes) {
    return spill_origin::kForged;
  }
  const std::string wanted = Proof(request, mark.substr(0, space));
  const std::string given = mark.substr(space + 1);
  return ConstantTimeEquals(AsBytes(wanted), AsBytes(given)) ? spill_origin::kOtherDataCentre
                                                             : spill_origin::kForged;
}

bool spill_system::Admit(const request_row& request, time_point now) {
  const service_config& service = *request.service;
  const bool admitted = MayCross(request) && incoming_.Take(service.name, service.limits, 1, now);
  (admitted ? admitted_ : turned_away_).Add();
  return admitted;
}

void spill_system::Run(time_point now) {
  outgoing_.Run(now);
  incoming_.Run(now);
}

}  // namespace hawthorndrum
