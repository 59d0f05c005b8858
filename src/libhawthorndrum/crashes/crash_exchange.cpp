/// Sends evidence to holders, in rounds, and to daemons that start.
#include "crashes/crash_exchange.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/log_record.h"
#include "crashes/crash_sender.h"
#include "gateway/daemon_directory.h"
#include "ports/event_log.h"
#include "ports/random_source.h"

namespace hawthorndrum {

namespace {

/** Losses of a suspect that all daemons should know of. */
constexpr std::size_t kLossesToSpread = 2;
/** A daemon that did not run for this long may have missed messages. */
constexpr duration kHeldUp = seconds(1);
constexpr duration kRetellPeriod = crash_record::kConvictionLifetime / 4;

}  // namespace

crash_exchange::crash_exchange(const daemon_directory& daemons, crash_sender& sender,
                               random_source& random, event_log& log, std::string own_name)
    : daemons_(daemons),
      sender_(sender),
      random_(random),
      log_(log),
      own_name_(std::move(own_name)) {}

void crash_exchange::RecordLoss(boost::span<const suspect> suspects, const upstream_loss& loss,
                                time_point now) {
  record_.RecordLoss(suspects, loss, now);
  for (const suspect& each : suspects) Spread(each.id);
}

void crash_exchange::RecordSound(boost::span<const suspect> suspects, time_point begun_at,
                                 time_point now) {
  for (const suspect& each : suspects) {
    const suspect_row* row = record_.Find(each.id);
    if (row == nullptr || row->losses.empty() || row->losses.front().at >= begun_at) continue;
    if (row->losses.size() >= kLossesToSpread) rounds_[each.id] = kRounds;
  }
  record_.RecordSound(suspects, begun_at, now);
}

suspect_id crash_exchange::FindConvicted(boost::span<const suspect> suspects, time_point now) {
  const suspect_id first = record_.FindConvicted(suspects, now);
  if (!first) return first;
  for (const suspect& each : suspects) {
    if (!record_.Convicts(each.id)) continue;
    time_point& told_at = told_at_[each.id];
    if (told_at != time_point() && now - told_at <= kRetellPeriod) continue;
    told_at = now;
    rounds_[each.id] = kRounds;
  }
  return first;
}

void crash_exchange::Spread(suspect_id id) {
  const suspect_row* row = record_.Find(id);
  if (row == nullptr) return;
  if (row->losses.size() >= kLossesToSpread) {
    rounds_[id] = kRounds;
  } else {
    SendToHolders(*row);
  }
}

void crash_exchange::SendToHolders(const suspect_row& row) {
  std::vector<std::pair<std::uint64_t, std::string_view>> ranked;
  const std::uint64_t key = row.about.id.value();
  ranked.emplace_back(RendezvousScore(key, Hash64(own_name_)), std::string_view());
  for (const daemon_record& other : daemons_.others())
    ranked.emplace_back(RendezvousScore(key, Hash64(other.name)), other.notices_address);
  const std::size_t count = std::min(kHolders, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
  for (std::size_t i = 0; i < count; ++i) {
    if (!ranked[i].second.empty()) queued_[std::string(ranked[i].second)].push_back(row);
  }
}

void crash_exchange::OnMessage(const crash_message& message, const std::string& from,
                               time_point now) {
  if (message.kind == crash_message_kind::kQuestion) return Answer(from);
  if (message.kind == crash_message_kind::kAnswer) answered_ = true;
  for (const suspect_row& other : message.rows) {
    const suspect_row* before = record_.Find(other.about.id);
    const std::size_t losses_before = before == nullptr ? 0 : before->losses.size();
    const merge_result merged = record_.Merge(other);
    const suspect_row& row = *record_.Find(other.about.id);
    // Refutations reach all that know the losses; a first loss stays with its holders.
    const std::size_t losses = std::max({losses_before, row.losses.size(), other.losses.size()});
    if ((merged.learned || merged.refutes) && losses >= kLossesToSpread)
      rounds_[other.about.id] = kRounds;
    if (merged.refutes) queued_[from].push_back(row);
  }
}

void crash_exchange::Answer(const std::string& to) {
  crash_message answer;
  answer.kind = crash_message_kind::kAnswer;
  for (const suspect_id id : record_.Convicted()) {
    const suspect_row& row = *record_.Find(id);
    if (!answer.HasRoomFor(row)) {
      sender_.SendCrashes(to, answer);
      answer.rows.clear();
    }
    answer.rows.push_back(row);
  }
  sender_.SendCrashes(to, answer);
}

std::vector<std::string> crash_exchange::RandomDaemons(std::size_t count) {
  // Two records may have one address: that of a host that was replaced under another name stays.
  std::vector<std::string_view> left;
  for (const daemon_record& other : daemons_.others()) left.push_back(other.notices_address);
  std::vector<std::string> drawn;
  while (drawn.size() < count && !left.empty()) {
    std::string_view& chosen = left[random_.Below(left.size())];
    const bool is_new = std::find(drawn.begin(), drawn.end(), chosen) == drawn.end();
    if (is_new) drawn.emplace_back(chosen);
    chosen = left.back();
    left.pop_back();
  }
  return drawn;
}

void crash_exchange::PassOn() {
  std::vector<const suspect_row*> rows;
  for (auto it = rounds_.begin(); it != rounds_.end();) {
    const suspect_row* row = record_.Find(it->first);
    if (row == nullptr || it->second == 0) {
      it = rounds_.erase(it);
      continue;
    }
    rows.push_back(row);
    ++it;
  }
  // Convictions first, then what is closest to one.
  std::sort(rows.begin(), rows.end(), [this](const suspect_row* a, const suspect_row* b) {
    const bool first = record_.Convicts(a->about.id);
    const bool second = record_.Convicts(b->about.id);
    if (first != second) return first;
    if (a->losses.size() != b->losses.size()) return a->losses.size() > b->losses.size();
    return a->about.id < b->about.id;
  });
  crash_message message;
  for (const suspect_row* row : rows) {
    if (!message.HasRoomFor(*row)) break;
    message.rows.push_back(*row);
    rounds_[row->about.id] -= 1;
  }
  if (message.rows.empty()) return;
  for (const std::string& address : RandomDaemons(kFanout)) sender_.SendCrashes(address, message);
}

void crash_exchange::RepeatConvictions() {
  const auto& convicted = record_.Convicted();
  if (convicted.empty()) return;
  std::vector<suspect_id> ids(convicted.begin(), convicted.end());
  std::sort(ids.begin(), ids.end());
  crash_message message;
  for (std::size_t i = 0; i < ids.size(); ++i) {
    const suspect_row& row = *record_.Find(ids[(repeated_ + i) % ids.size()]);
    if (!message.HasRoomFor(row)) break;
    message.rows.push_back(row);
  }
  repeated_ += message.rows.size();
  for (const std::string& address : RandomDaemons(1)) sender_.SendCrashes(address, message);
}

void crash_exchange::AskForConvictions(time_point now) {
  if (answered_ || now - asked_at_ < kQuestionPeriod) return;
  asked_at_ = now;
  const crash_message question{crash_message_kind::kQuestion, {}};
  for (const std::string& address : RandomDaemons(2)) sender_.SendCrashes(address, question);
}

void crash_exchange::SendQueued() {
  for (const auto& [address, rows] : std::exchange(queued_, {})) {
    crash_message message;
    for (const suspect_row& row : rows) {
      if (!message.HasRoomFor(row)) {
        sender_.SendCrashes(address, message);
        message.rows.clear();
      }
      message.rows.push_back(row);
    }
    sender_.SendCrashes(address, message);
  }
}

void crash_exchange::LogChanges(time_point now) {
  const auto& convicted = record_.Convicted();
  const auto write = [&](suspect_id id, std::string_view outcome) {
    const suspect_row* row = record_.Find(id);
    const bool is_request = row != nullptr && row->about.depth == suspect::kRequestDepth;
    log_.Write(
        log_importance::kImportant,
        log_record("suspect_judged")
            .Text("suspect", NameOf(id))
            .Text("outcome", outcome)
            .Text("what", is_request ? "request" : "prompt_part")
            .Number("depth", row == nullptr ? -1 : row->about.depth)
            .Number("losses", row == nullptr ? 0 : static_cast<int>(row->losses.size()))
            .Number("sound_ms_ago",
                    row == nullptr || !row->sound_at ? -1 : ToMilliseconds(now - *row->sound_at)));
  };
  for (const suspect_id id : convicted) {
    if (logged_.insert(id).second) write(id, "convicted");
  }
  for (auto it = logged_.begin(); it != logged_.end();) {
    if (convicted.count(*it) > 0) {
      ++it;
      continue;
    }
    write(*it, "cleared");
    told_at_.erase(*it);
    it = logged_.erase(it);
  }
}

void crash_exchange::Run(time_point now) {
  const time_point before = std::exchange(last_run_, now);
  if (before != time_point() && now - before > kHeldUp) answered_ = false;
  SendQueued();
  AskForConvictions(now);
  if (now - last_round_ >= kRoundPeriod) {
    last_round_ = now;
    record_.Sweep(now);
    PassOn();
  }
  if (now - last_repeat_ >= kRepeatPeriod) {
    last_repeat_ = now;
    RepeatConvictions();
  }
  LogChanges(now);
}

}  // namespace hawthorndrum
