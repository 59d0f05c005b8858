/// Writes and reads the headers between daemons.
#include "relay/relay_headers.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

namespace hawthorndrum {

namespace {

constexpr std::string_view kPrefix = "Hawthorndrum-Relay-";
constexpr std::string_view kHost = "Hawthorndrum-Relay-Host";
constexpr std::string_view kTimeLeft = "Hawthorndrum-Relay-Time-Left-Ms";
constexpr std::string_view kRuns = "Hawthorndrum-Relay-Runs";
constexpr std::string_view kEarned = "Hawthorndrum-Relay-Earned";
constexpr std::string_view kBuild = "Hawthorndrum-Relay-Build";
constexpr std::string_view kLastEvent = "Hawthorndrum-Relay-Last-Event";
constexpr std::string_view kTeam = "Hawthorndrum-Relay-Team";
constexpr std::string_view kConfigAfter = "Hawthorndrum-Relay-Config-After";
constexpr std::string_view kOutcome = "Hawthorndrum-Relay-Outcome";
constexpr std::string_view kUpstream = "Hawthorndrum-Relay-Upstream";

/** In the order of relay_outcome. */
constexpr std::string_view kOutcomes[] = {"answered", "refused", "declined", "unavailable",
                                          "unknown"};

/** A day; no caller waits for longer. */
constexpr std::uint64_t kLongestTimeMs = 24 * 3600 * 1000;
constexpr std::uint64_t kMostRuns = 1000;

std::optional<std::uint64_t> ReadNumber(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, value);
  if (text.empty() || read.ec != std::errc() || read.ptr != end) return std::nullopt;
  return value;
}

void Remove(std::vector<http_header>& headers) {
  const auto is_relay = [](const http_header& header) {
    return boost::algorithm::istarts_with(header.name, kPrefix);
  };
  headers.erase(std::remove_if(headers.begin(), headers.end(), is_relay), headers.end());
}

void Add(std::vector<http_header>& headers, std::string_view name, std::string value) {
  headers.push_back({std::string(name), std::move(value)});
}

}  // namespace

void SetRelayTerms(const relay_terms& terms, std::vector<http_header>& headers) {
  Remove(headers);
  Add(headers, kHost, terms.host);
  Add(headers, kTimeLeft,
      std::to_string(std::max<std::int64_t>(0, ToMilliseconds(terms.time_left))));
  Add(headers, kRuns, std::to_string(terms.runs));
  if (terms.earned) Add(headers, kEarned, "1");
  if (!terms.team.empty()) Add(headers, kTeam, terms.team);
  if (!terms.build) return;
  Add(headers, kBuild, std::to_string(terms.build.value()));
  if (!terms.last_event_id.empty()) Add(headers, kLastEvent, terms.last_event_id);
}

std::optional<relay_terms> TakeRelayTerms(std::vector<http_header>& headers) {
  relay_terms terms;
  terms.host = std::string(FindHeader(headers, kHost));
  terms.last_event_id = std::string(FindHeader(headers, kLastEvent));
  terms.team = std::string(FindHeader(headers, kTeam));
  terms.earned = FindHeader(headers, kEarned) == "1";
  const auto time_left = ReadNumber(FindHeader(headers, kTimeLeft));
  const auto runs = ReadNumber(FindHeader(headers, kRuns));
  const std::string_view build_text = FindHeader(headers, kBuild);
  const auto build = build_text.empty() ? std::optional<std::uint64_t>(0) : ReadNumber(build_text);
  Remove(headers);
  if (terms.host.empty() || !time_left || !runs || !build || *runs > kMostRuns) return std::nullopt;
  terms.time_left = milliseconds(std::min(*time_left, kLongestTimeMs));
  terms.runs = static_cast<int>(*runs);
  terms.build = software_build(*build);
  return terms;
}

void SetConfigQuestion(std::uint64_t version, std::vector<http_header>& headers) {
  Remove(headers);
  Add(headers, kConfigAfter, std::to_string(version));
}

std::optional<std::uint64_t> ReadConfigQuestion(const std::vector<http_header>& headers) {
  return ReadNumber(FindHeader(headers, kConfigAfter));
}

void SetRelayAnswer(const relay_answer& answer, std::vector<http_header>& headers) {
  Remove(headers);
  Add(headers, kOutcome, std::string(kOutcomes[static_cast<std::size_t>(answer.outcome)]));
  if (answer.upstream) Add(headers, kUpstream, std::to_string(answer.upstream.value()));
}

relay_answer TakeRelayAnswer(std::vector<http_header>& headers) {
  relay_answer answer;
  const std::string_view outcome = FindHeader(headers, kOutcome);
  const auto known = std::find(std::begin(kOutcomes), std::end(kOutcomes), outcome);
  if (known != std::end(kOutcomes))
    answer.outcome = static_cast<relay_outcome>(known - std::begin(kOutcomes));
  answer.upstream = upstream_id(ReadNumber(FindHeader(headers, kUpstream)).value_or(0));
  Remove(headers);
  return answer;
}

}  // namespace hawthorndrum
