/// Samples of the messages whose bytes earlier versions wrote into folders named by their commits.
/// They set only what all versions with a folder know, so that this file builds with each.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "crashes/crash_message.h"
#include "feed/feed_message.h"
#include "gateway/load_notice.h"
#include "origins/origin_message.h"
#include "relay/relay_answer.h"
#include "relay/relay_headers.h"
#include "relay/relay_terms.h"
#include "resumes/settled_builds.h"
#include "systems/lease_record.h"

namespace hawthorndrum::message_samples {

inline time_point Now() { return time_point() + seconds(100); }

inline load_notice LoadNotice() {
  load_notice notice;
  notice.sender = incarnation_id(0x1122334455667788);
  notice.sequence = 41;
  notice.host = "front-1";
  notice.data_centre = "north";
  notice.config_version = 7;
  notice.fleet_revision = 901;
  notice.work.push_back({upstream_id(11), {3, 1200, 5000, 40}, milliseconds(120)});
  notice.avoided.push_back({upstream_id(12), milliseconds(800), avoidance_reason::kWantsTime});
  notice.limits.push_back({upstream_id(13), 2.5, milliseconds(300)});
  notice.demand.push_back({"llm", 9000, 120, 4});
  return notice;
}

inline load_notice Digest() {
  load_notice notice = LoadNotice();
  notice.covers.push_back({incarnation_id(0x1122334455667788), 41});
  notice.covers.push_back({incarnation_id(99), 5});
  return notice;
}

inline origin_message Origins(origin_message_kind kind) {
  origin_message message;
  message.kind = kind;
  message.origins.push_back({stream_key(0xaabbccdd00112233), software_build(17)});
  message.origins.push_back({stream_key(5), software_build()});
  return message;
}

inline crash_message Crashes(crash_message_kind kind) {
  crash_message message;
  message.kind = kind;
  suspect_row row;
  row.about = {suspect_id(77), 2};
  row.sound_at = Now() - seconds(9);
  row.asked_at = Now() - seconds(3);
  upstream_loss loss;
  loss.upstream = upstream_id(11);
  loss.at = Now() - seconds(2);
  loss.sent_at = Now() - seconds(4);
  row.losses.push_back(loss);
  message.rows.push_back(row);
  return message;
}

inline std::vector<http_header> RelayRequest() {
  relay_terms terms;
  terms.host = "front-1";
  terms.time_left = milliseconds(2500);
  terms.runs = 1;
  terms.earned = true;
  terms.build = software_build(17);
  terms.last_event_id = "12";
  std::vector<http_header> headers;
  SetRelayTerms(terms, headers);
  return headers;
}

inline std::vector<http_header> RelayAnswer() {
  std::vector<http_header> headers;
  SetRelayAnswer({relay_outcome::kDeclined, upstream_id(11)}, headers);
  return headers;
}

inline lease_record Lease() {
  lease_record record;
  record.term = lease_term(9);
  record.holder = peer_id(0x12345);
  record.incarnation = incarnation_id(0x1122334455667788);
  record.nonce = 0x99aabbcc;
  record.length = seconds(4);
  return record;
}

inline feed_message Feed() {
  feed_message message;
  message.from = 40;
  message.to = 44;
  message.newest_change = 43;
  message.changes.push_back({"w1", 42, std::string(R"({"service":"llm"})")});
  message.changes.push_back({"w2", 0, {}});
  return message;
}

inline settled_builds SettledBuilds() {
  settled_builds record;
  record.era = 6;
  record.routes = 0x1234;
  record.builds["llm"] = software_build(17);
  return record;
}

inline std::string TextOf(const std::vector<http_header>& headers) {
  std::string text;
  for (const http_header& each : headers) text += each.name + ": " + each.value + "\n";
  return text;
}

/** Returns the bytes of each datagram by the name of its file, which ends in `.hex`. */
inline std::vector<std::pair<std::string, std::vector<std::uint8_t>>> Datagrams() {
  return {{"load_notice", EncodeLoadNotice(LoadNotice())},
          {"digest", EncodeLoadNotice(Digest())},
          {"origin_record", EncodeOriginMessage(Origins(origin_message_kind::kRecord))},
          {"origin_question", EncodeOriginMessage(Origins(origin_message_kind::kQuestion))},
          {"origin_answer", EncodeOriginMessage(Origins(origin_message_kind::kAnswer))},
          {"crash_evidence", EncodeCrashMessage(Crashes(crash_message_kind::kEvidence), Now())},
          {"crash_answer", EncodeCrashMessage(Crashes(crash_message_kind::kAnswer), Now())},
          {"feed", EncodeFeedMessage(Feed())}};
}

/** Returns the messages that are text by the names of their files. */
inline std::vector<std::pair<std::string, std::string>> Texts() {
  return {{"relay_request.txt", TextOf(RelayRequest())},
          {"relay_answer.txt", TextOf(RelayAnswer())},
          {"lease.json", EncodeLease(Lease()) + "\n"},
          {"settled_builds.json", EncodeSettledBuilds(SettledBuilds()) + "\n"}};
}

}  // namespace hawthorndrum::message_samples
