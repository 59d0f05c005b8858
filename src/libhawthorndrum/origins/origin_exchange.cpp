/// Sends records, questions and answers about the origins of streams.
#include "origins/origin_exchange.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "gateway/daemon_directory.h"
#include "origins/origin_listener.h"
#include "origins/origin_sender.h"

namespace hawthorndrum {

origin_exchange::origin_exchange(const daemon_directory& daemons, origin_sender& sender,
                                 std::string own_name, std::string own_data_centre)
    : daemons_(daemons),
      sender_(sender),
      own_name_(std::move(own_name)),
      own_data_centre_(std::move(own_data_centre)) {}

std::vector<std::string> origin_exchange::Holders(stream_key key, std::size_t count) const {
  struct candidate {
    std::uint64_t score = 0;
    std::string_view data_centre;
    /** Empty for this daemon. */
    std::string_view address;
  };
  std::vector<candidate> ranked;
  ranked.push_back({RendezvousScore(key.value(), Hash64(own_name_)), own_data_centre_, {}});
  for (const daemon_record& other : daemons_.others()) {
    ranked.push_back({RendezvousScore(key.value(), Hash64(other.name)), other.data_centre,
                      other.notices_address});
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const candidate& a, const candidate& b) { return a.score > b.score; });
  std::vector<std::string> holders;
  std::size_t near = 0;
  std::size_t spread = 0;
  std::map<std::string_view, std::size_t> of_data_centre;
  for (const candidate& each : ranked) {
    const bool is_near = each.data_centre == own_data_centre_ && near < count;
    // Half of them in one data centre at most, so that the loss of one is survived.
    std::size_t& there = of_data_centre[each.data_centre];
    const bool is_spread = spread < count && there < count / 2;
    near += is_near ? 1 : 0;
    spread += is_spread ? 1 : 0;
    there += is_spread ? 1 : 0;
    if ((is_near || is_spread) && !each.address.empty()) holders.emplace_back(each.address);
    if (near >= count && spread >= count) break;
  }
  return holders;
}

void origin_exchange::Record(const stream_origin& origin, time_point now) {
  table_.Record(origin, now);
  const origin_message message{origin_message_kind::kRecord, {origin}};
  for (const std::string& address : Holders(origin.key, kHolders))
    sender_.SendOrigins(address, message);
}

std::optional<software_build> origin_exchange::Find(stream_key key, time_point now) const {
  return table_.Find(key, now);
}

void origin_exchange::Ask(stream_key key, time_point now) {
  const auto [it, is_new] = questions_.try_emplace(key);
  if (!is_new) return;
  it->second.asked_at = now;
  SendQuestions(key, it->second, kHolders);
}

void origin_exchange::SendQuestions(stream_key key, question& open, std::size_t holders) {
  const origin_message message{origin_message_kind::kQuestion, {{key, {}}}};
  for (const std::string& address : Holders(key, holders)) {
    const auto is_address = [&](const std::string& each) { return each == address; };
    const bool was_asked = std::any_of(open.asked.begin(), open.asked.end(), is_address);
    const bool is_open = std::any_of(open.unanswered.begin(), open.unanswered.end(), is_address);
    // A question or its answer may have been lost; a daemon that answered is not asked again.
    if (was_asked && !is_open) continue;
    if (!was_asked) {
      open.asked.push_back(address);
      open.unanswered.push_back(address);
    }
    sender_.SendOrigins(address, message);
  }
}

void origin_exchange::BeginSecondRound(stream_key key, question& open) {
  open.second_round = true;
  SendQuestions(key, open, kSecondRoundHolders);
}

void origin_exchange::OnMessage(const origin_message& message, const std::string& from,
                                time_point now) {
  if (message.kind == origin_message_kind::kQuestion) return Answer(message, from, now);
  for (const stream_origin& origin : message.origins) {
    if (message.kind == origin_message_kind::kAnswer) {
      OnAnswer(origin, from, now);
    } else if (origin.build) {
      table_.Record(origin, now);
    }
  }
}

void origin_exchange::Answer(const origin_message& questions, const std::string& to,
                             time_point now) {
  origin_message answer;
  answer.kind = origin_message_kind::kAnswer;
  for (const stream_origin& asked : questions.origins) {
    answer.origins.push_back({asked.key, table_.Find(asked.key, now).value_or(software_build())});
  }
  sender_.SendOrigins(to, answer);
}

void origin_exchange::OnAnswer(const stream_origin& origin, const std::string& from,
                               time_point now) {
  const auto found = questions_.find(origin.key);
  if (found == questions_.end()) return;
  if (origin.build) {
    table_.Record(origin, now);
    return End(origin.key, origin.build);
  }
  question& open = found->second;
  open.unanswered.erase(std::remove(open.unanswered.begin(), open.unanswered.end(), from),
                        open.unanswered.end());
  if (!open.unanswered.empty()) return;
  if (!open.second_round) BeginSecondRound(origin.key, open);
  if (open.unanswered.empty()) End(origin.key, std::nullopt);
}

void origin_exchange::HandOver() { to_hand_over_ = table_.All(); }

void origin_exchange::HandOverSome() {
  std::map<std::string, origin_message> by_address;
  for (std::size_t i = 0; i < kHandedOverAtOnce && !to_hand_over_.empty(); ++i) {
    const stream_origin origin = to_hand_over_.back();
    to_hand_over_.pop_back();
    for (const std::string& address : Holders(origin.key, kHolders)) {
      origin_message& message = by_address[address];
      message.origins.push_back(origin);
      if (message.origins.size() < origin_message::kMaxOrigins) continue;
      sender_.SendOrigins(address, message);
      message.origins.clear();
    }
  }
  for (const auto& [address, message] : by_address) {
    if (!message.origins.empty()) sender_.SendOrigins(address, message);
  }
}

void origin_exchange::Run(time_point now) {
  HandOverSome();
  std::vector<stream_key> ended;
  for (auto& [key, open] : questions_) {
    if (!open.second_round && (open.asked.empty() || now - open.asked_at >= kFirstRoundTime))
      BeginSecondRound(key, open);
    const bool nobody_left = open.second_round && open.unanswered.empty();
    if (nobody_left || now - open.asked_at >= kLongestQuestion) ended.push_back(key);
  }
  for (const stream_key key : ended) End(key, std::nullopt);
}

void origin_exchange::End(stream_key key, std::optional<software_build> build) {
  questions_.erase(key);
  if (listener_ != nullptr) listener_->OnOrigin(key, build);
}

}  // namespace hawthorndrum
