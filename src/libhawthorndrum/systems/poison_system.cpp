/// Finds the requests that crash the upstreams that run them.
#include "systems/poison_system.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/metrics_registry.h"
#include "ports/clock.h"
#include "ports/peer_port.h"
#include "systems/problem_answer.h"

namespace hawthorndrum {

namespace {

constexpr std::size_t kConvictionStrikes = 2;
constexpr std::size_t kMaxStrikes = 4;
/**
 * A load report proves that the upstream is alive only when it is newer than the loss by this
 * margin; an earlier one may still show the incarnation that ended.
 */
constexpr duration kReportMargin = seconds(6);
/** Bytes that were in flight when the upstream was lost have arrived after this time. */
constexpr duration kBytesMargin = seconds(1);
constexpr duration kReportCheckPeriod = seconds(1);
constexpr duration kGossipPeriod = seconds(2);
constexpr std::size_t kGossipRows = 16;

}  // namespace

poison_system::poison_system(const request_ports& ports)
    : ports_(ports),
      suspects_(ports.metrics->Counter("hawthorndrum_suspects_total")),
      convictions_(ports.metrics->Counter("hawthorndrum_convictions_total")),
      withdrawn_(ports.metrics->Counter("hawthorndrum_suspicions_withdrawn_total")) {}

fingerprint_standing poison_system::StandingOf(std::uint64_t fingerprint, time_point now) const {
  const fingerprint_row* row = rows_.Find(fingerprint);
  if (!row) return fingerprint_standing::kClear;
  return row->convicted_until > now ? fingerprint_standing::kConvicted
                                    : fingerprint_standing::kSuspect;
}

duration poison_system::ConvictedFor(std::uint64_t fingerprint, time_point now) const {
  const fingerprint_row* row = rows_.Find(fingerprint);
  return row && row->convicted_until > now ? row->convicted_until - now : duration::zero();
}

void poison_system::Lost(std::uint64_t fingerprint, const crash_event& event, bool alone,
                         time_point now) {
  fingerprint_row* row = rows_.Find(fingerprint);
  if (!row) {
    row = &rows_.Insert({fingerprint, {}, {}, now});
    suspects_.Add();
  }
  if (!AddStrike(*row, {event, alone}, now)) return;
  QueueUpdate(fingerprint);
  ConvictIfDue(fingerprint, now);
}

bool poison_system::AddStrike(fingerprint_row& row, const strike_update& update, time_point now) {
  for (strike& known : row.strikes) {
    if (!(known.event == update.event)) continue;
    const bool adds_information = update.alone && !known.alone;
    known.alone |= update.alone;
    return adds_information;
  }
  if (row.strikes.size() >= kMaxStrikes) return false;
  row.strikes.push_back({update.event, update.alone, now});
  row.changed = now;
  return true;
}

void poison_system::ConvictIfDue(std::uint64_t fingerprint, time_point now) {
  fingerprint_row* row = rows_.Find(fingerprint);
  const auto& strikes = row->strikes;
  const bool alone =
      std::any_of(strikes.begin(), strikes.end(), [](const strike& one) { return one.alone; });
  if (row->convicted_until > now || (strikes.size() < kConvictionStrikes && !alone)) return;
  row->convicted_until = now + kConvictedFor;
  row->changed = now;
  convictions_.Add();
  QueueUpdate(fingerprint);
  const std::vector<strike> explained = strikes;
  RemoveExplainedStrikes(explained, fingerprint);
}

void poison_system::RemoveExplainedStrikes(const std::vector<strike>& strikes,
                                           std::uint64_t convicted_fingerprint) {
  std::vector<std::uint64_t> cleared;
  for (fingerprint_row& row : rows_) {
    if (row.id == convicted_fingerprint || row.convicted_until != time_point()) continue;
    auto& own = row.strikes;
    own.erase(std::remove_if(own.begin(), own.end(),
                             [&](const strike& one) {
                               return std::any_of(
                                   strikes.begin(), strikes.end(),
                                   [&](const strike& other) { return other.event == one.event; });
                             }),
              own.end());
    if (own.empty()) cleared.push_back(row.id);
  }
  for (const std::uint64_t id : cleared) rows_.Erase(id);
}

void poison_system::Answered(std::uint64_t fingerprint, time_point now) {
  if (!rows_.Erase(fingerprint)) return;
  unsent_.updates.push_back({fingerprint, {}, duration::zero(), true});
}

void poison_system::Alive(const crash_event& event, time_point sent, time_point now) {
  if (rows_.empty() || !HasStrikeFor(event)) return;
  for (const fingerprint_row& row : rows_) {
    for (const strike& one : row.strikes) {
      if (!(one.event == event) || sent >= one.seen) continue;
      if (now - one.seen < kBytesMargin) continue;
      unsent_.alive.push_back(event);
      return WithdrawStrikes(event);
    }
  }
}

bool poison_system::HasStrikeFor(const crash_event& event) const {
  return std::any_of(rows_.begin(), rows_.end(), [&](const fingerprint_row& row) {
    return std::any_of(row.strikes.begin(), row.strikes.end(),
                       [&](const strike& one) { return one.event == event; });
  });
}

void poison_system::WithdrawStrikes(const crash_event& event) {
  withdrawn_.Add();
  std::vector<std::uint64_t> cleared;
  for (fingerprint_row& row : rows_) {
    auto& own = row.strikes;
    const auto kept = std::remove_if(own.begin(), own.end(),
                                     [&](const strike& one) { return one.event == event; });
    if (kept == own.end()) continue;
    own.erase(kept, own.end());
    row.convicted_until = time_point();
    if (own.empty()) cleared.push_back(row.id);
  }
  for (const std::uint64_t id : cleared) rows_.Erase(id);
}

void poison_system::OnMessage(const suspect_message& message, time_point now) {
  for (const crash_event& event : message.alive) {
    if (HasStrikeFor(event)) WithdrawStrikes(event);
  }
  for (const fingerprint_update& update : message.updates) {
    if (update.cleared) {
      rows_.Erase(update.fingerprint);
      continue;
    }
    fingerprint_row* row = rows_.Find(update.fingerprint);
    if (!row) row = &rows_.Insert({update.fingerprint, {}, {}, now});
    for (const strike_update& one : update.strikes) AddStrike(*row, one, now);
    if (row->strikes.empty()) {
      rows_.Erase(update.fingerprint);
      continue;
    }
    ConvictIfDue(update.fingerprint, now);
  }
}

fingerprint_update poison_system::UpdateFor(std::uint64_t fingerprint, time_point now) const {
  fingerprint_update update;
  update.fingerprint = fingerprint;
  const fingerprint_row* row = rows_.Find(fingerprint);
  if (!row) {
    update.cleared = true;
    return update;
  }
  for (const strike& one : row->strikes) update.strikes.push_back({one.event, one.alone});
  if (row->convicted_until > now) update.convicted_for = row->convicted_until - now;
  return update;
}

void poison_system::QueueUpdate(std::uint64_t fingerprint) {
  const auto same = [&](const fingerprint_update& one) { return one.fingerprint == fingerprint; };
  auto& updates = unsent_.updates;
  updates.erase(std::remove_if(updates.begin(), updates.end(), same), updates.end());
  updates.push_back({fingerprint, {}, duration::zero(), false});
}

void poison_system::Flush(time_point now) {
  if (unsent_.updates.empty() && unsent_.alive.empty()) return;
  suspect_message message;
  bool convicts = false;
  for (const fingerprint_update& one : unsent_.updates) {
    if (one.cleared && !rows_.Find(one.fingerprint)) {
      message.updates.push_back(one);
    } else if (rows_.Find(one.fingerprint)) {
      message.updates.push_back(UpdateFor(one.fingerprint, now));
      convicts |= message.updates.back().convicted_for > duration::zero();
    }
  }
  message.alive = std::move(unsent_.alive);
  unsent_ = {};
  Send(message, convicts);
}

void poison_system::Send(const suspect_message& message, bool everywhere) {
  if (!ports_.peers || (message.updates.empty() && message.alive.empty())) return;
  const peer_message encoded = Encode(message);
  for (const live_peer& peer : ports_.peers->Peers()) {
    if (peer.linked && (everywhere || peer.same_data_centre)) ports_.peers->Send(peer.id, encoded);
  }
}

void poison_system::Run(time_point now) {
  Flush(now);
  if (rows_.empty()) return;
  if (now - last_report_check_ >= kReportCheckPeriod) {
    last_report_check_ = now;
    CheckReports();
    RemoveExpired(now);
  }
  if (rows_.empty() || now - last_gossip_ < kGossipPeriod) return;
  // Repeats the rows in rotation, for peers that missed an update or started since.
  last_gossip_ = now;
  suspect_message message;
  for (std::size_t i = 0; i < std::min(kGossipRows, rows_.size()); ++i) {
    const auto row = rows_.begin() + static_cast<std::ptrdiff_t>(next_gossip_row_++ % rows_.size());
    message.updates.push_back(UpdateFor(row->id, now));
  }
  Send(message, false);
}

void poison_system::CheckReports() {
  std::vector<crash_event> alive;
  for (const fingerprint_row& row : rows_) {
    for (const strike& one : row.strikes) {
      const upstream* seen = ports_.upstreams->Find(one.event.upstream);
      if (!seen || !seen->has_report || one.event.incarnation == 0) continue;
      if (seen->report.engine_incarnation != one.event.incarnation) continue;
      if (seen->report_time > one.seen + kReportMargin) alive.push_back(one.event);
    }
  }
  for (const crash_event& event : alive) {
    if (!HasStrikeFor(event)) continue;
    unsent_.alive.push_back(event);
    WithdrawStrikes(event);
  }
}

void poison_system::RemoveExpired(time_point now) {
  std::vector<std::uint64_t> old;
  const fingerprint_row* oldest = nullptr;
  for (const fingerprint_row& row : rows_) {
    const bool convicted = row.convicted_until != time_point();
    const time_point end = convicted ? row.convicted_until : row.changed + kSuspectFor;
    if (end <= now) old.push_back(row.id);
    if (!convicted && (!oldest || row.changed < oldest->changed)) oldest = &row;
  }
  if (old.empty() && rows_.size() > kMaxFingerprints && oldest) old.push_back(oldest->id);
  for (const std::uint64_t id : old) rows_.Erase(id);
}

expected<nlohmann::json> poison_system::Report(std::string_view /*item*/) const {
  const time_point now = ports_.time->Now();
  nlohmann::json list = nlohmann::json::array();
  for (const fingerprint_row& row : rows_) {
    const bool convicted = row.convicted_until > now;
    nlohmann::json one = {{"fingerprint", ToHex(row.id)},
                          {"standing", convicted ? "convicted" : "suspect"},
                          {"strikes", row.strikes.size()}};
    if (convicted) one["for_ms"] = ToMilliseconds(row.convicted_until - now);
    for (const strike& hit : row.strikes) {
      const upstream* lost = ports_.upstreams->Find(hit.event.upstream);
      one["upstreams"].push_back(lost ? lost->address : ToHex(hit.event.upstream.value()));
    }
    list.push_back(std::move(one));
  }
  return nlohmann::json{{"fingerprints", std::move(list)}};
}

expected<nlohmann::json> poison_system::Act(std::string_view verb,
                                            const nlohmann::json& arguments) {
  if (verb != "clear" || !arguments.is_object()) {
    return tl::make_unexpected(error{error_code::kInvalid, "the only order is clear"});
  }
  const auto found = arguments.find("fingerprint");
  const std::string text =
      found != arguments.end() && found->is_string() ? found->get<std::string>() : std::string();
  if (!rows_.Find(FromHex(text))) {
    return tl::make_unexpected(error{error_code::kNotFound, "nothing is held against it"});
  }
  Answered(FromHex(text), ports_.time->Now());
  return nlohmann::json{{"cleared", text}};
}

}  // namespace hawthorndrum
