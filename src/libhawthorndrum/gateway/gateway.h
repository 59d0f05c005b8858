/// The gateway: routes callers' requests and runs them at upstreams of any platform.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/http_message.h"
#include "crossing/crossing_meter.h"
#include "crossing/crossing_policy.h"
#include "flow/flow_control.h"
#include "gateway/arrived_request.h"
#include "gateway/crash_recorder.h"
#include "gateway/cut_off_detector.h"
#include "gateway/daemon_directory.h"
#include "gateway/demand_meter.h"
#include "gateway/engine_placement.h"
#include "gateway/engine_speeds.h"
#include "gateway/exchange.h"
#include "gateway/fleet_table.h"
#include "gateway/gateway_ports.h"
#include "gateway/notice_writer.h"
#include "gateway/peer_load_table.h"
#include "gateway/reachability_monitor.h"
#include "gateway/retry_allowance.h"
#include "gateway/service_placement.h"
#include "gateway/statement_handler.h"
#include "gateway/stop_admission.h"
#include "origins/origin_listener.h"
#include "ports/attempt_event.h"
#include "relay/relay_answer.h"
#include "relay/relay_peers.h"
#include "relay/relay_terms.h"
#include "resumes/resume_listener.h"
#include "resumes/stream_resumes.h"
#include "systems/system.h"
#include "teams/team_shares.h"

namespace hawthorndrum {

class counter;
class latency_histogram;

/**
 * Sends each request to an upstream on arrival, or refuses it at once. The gateway keeps no queue,
 * since engines order theirs by priority. Events arrive through the On... methods.
 *
 * Invariants: each request gets exactly one final answer; an event whose attempt is not open
 * changes nothing; a request that is not idempotent is sent again only after its upstream stated
 * that it did not run it; 503 is answered only for requests that did not run and never will.
 */
class gateway : public system, public origin_listener, private resume_listener {
 public:
  explicit gateway(const gateway_ports& ports);
  ~gateway() override;

  /** Applies a newer configuration; ignores an older one. */
  void SetConfig(std::shared_ptr<const gateway_config> config);
  /** Records that the host list was read completely at least once. */
  void SetFleetKnown();
  /** Tells whether changes of the host list arrive. */
  void SetFleetCurrent(bool is_current) { resumes_.only().SetListCurrent(is_current); }
  /** Tells whether newer configurations arrive. */
  void SetConfigCurrent(bool is_current) { resumes_.only().SetConfigCurrent(is_current); }
  /** Sets the store's revision at the last change of the host list. */
  void SetFleetRevision(std::uint64_t revision) { fleet_revision_ = revision; }
  /** Sets the other daemons, with which this one shares the limits of upstreams. */
  void SetDaemons(const std::vector<daemon_record>& others);
  /** Sets what counts the requests that began; without it nothing does. */
  void SetUsageMeter(usage_meter& meter) { ports_.usage = &meter; }
  /** Sets the part of the retry reserve that this daemon may spend, from 0 to 1. */
  void SetRetryShare(double share) { allowance_.SetShare(share); }

  /**
   * The daemon stops then: requests that cannot end before are refused from now on, as those that
   * other daemons can serve.
   */
  void BeginStop(time_point ends_at);
  /** Answers all requests in flight, those that have not run with a refusal. */
  void EndAll();

  void OnRequest(request_id id, http_request request);
  /** Another daemon, which reaches no upstream, passed the request on to this one. */
  void OnPassedOn(request_id id, http_request request);
  void OnCallerGone(request_id id);
  void OnAttemptConnected(const attempt_connected& connected);
  void OnAttemptHead(const attempt_head& head);
  void OnAttemptBytes(const attempt_bytes& bytes);
  void OnAttemptFinished(const attempt_finished& finished);
  void OnAttemptLost(const attempt_lost& lost);
  void OnProbeEnded(const probe_ended& ended);
  void OnNotice(const load_notice& notice);
  void OnOrigin(stream_key key, std::optional<software_build> build) override;

  void Run(time_point now) override;

  /** Builds the next notice to the other daemons. */
  load_notice MakeNotice();

  /** Returns the prefill demand of all daemons, in engines that it would keep fully busy. */
  double PrefillLoad(const std::string& service, time_point now) const;

  team_shares& shares() { return shares_; }
  fleet_table& fleet() { return fleet_; }
  peer_load_table& peers() { return peers_; }
  stream_resumes& resumes() { return resumes_; }
  std::uint64_t config_version() const { return config_ ? config_->version : 0; }
  std::shared_ptr<const gateway_config> config() const { return config_; }
  /** Whether this daemon reaches no upstream at all. */
  bool is_cut_off() const { return cut_off_.IsCutOffFromAll(); }
  bool is_ready() const { return config_ != nullptr && fleet_known_; }
  std::size_t in_flight() const { return exchanges_.size() + resumes_.waiting(); }
  /** Bytes of requests and answers that are held for callers and upstreams. */
  std::size_t held_bytes() const { return flow_.held(); }

 private:
  struct route_meters;
  static constexpr std::string_view kAnswered = "answered";
  /** Failure reason: the upstream stated that it did not run the call. */
  static constexpr std::string_view kRefusedByUpstream = "upstream_refused";
  /** Failure reason: no connection could be made, and nothing was sent. */
  static constexpr std::string_view kNotConnected = "not_connected";
  static constexpr std::string_view kConnectionLost = "connection_lost";
  /** This host has no descriptor, port or buffer left for a connection. */
  static constexpr std::string_view kLacksResources = "host_lacks_resources";
  /** Refusal reasons: this daemon serves nothing yet, or enough requests of other daemons. */
  static constexpr std::string_view kNotStarted = "not_started";
  static constexpr std::string_view kRelayFull = "relay_full";
  /** Refusal reason: this host holds as much for callers and upstreams as it may. */
  static constexpr std::string_view kHostFull = "host_full";
  /** Why requests are refused, or end, when this daemon stops. */
  static constexpr std::string_view kStopping = "stopping";
  /** Refusal reasons: no upstream of the service can be called. */
  static constexpr std::string_view kNoUpstream = "no_upstream";
  static constexpr std::string_view kNoEngine = "no_engine";
  /** Refusal reason: a part of its prompt, or the request itself, crashes upstreams. */
  static constexpr std::string_view kCrashesUpstreams = "crashed_upstreams";
  /** Refusal reason: all upstreams that could take the request asked for time. */
  static constexpr std::string_view kUpstreamsWantNothing = "upstreams_want_nothing";
  /** Why a call ended without an answer that can be forwarded to the caller. */
  struct call_problem {
    std::string_view reason;
    /** Whether the request may have run. */
    bool may_have_run = true;
    /** Whether the upstream itself is at fault, and not just this call. */
    bool upstream_failed = false;
    /** Whether the upstream's own answer is kept and may be forwarded. */
    bool has_answer = false;
  };

  // Resuming streams.
  void OnResumeKnown(arrived_request arrived, software_build build) override;
  void OnResumeUnknown(const arrived_request& arrived) override;
  /** Returns the target that has an upstream of the build; null if there is none. */
  const weighted_service* TargetOfBuild(const route& matched, software_build build, time_point now);
  /** Tells other daemons at which build the caller's stream began. */
  void RecordOrigin(exchange& each, time_point now);

  // Callers and their teams.
  /** Returns the caller's team, if any, or nothing after it has refused the request. */
  std::optional<const team*> Identify(const arrived_request& arrived, const route& matched);
  /** Forgets the key, and has every call of the request name the team. */
  void SetTeam(exchange& each, const team* caller, const route& matched);
  /** Returns why the request is refused for its team's share of the room, if it is. */
  std::optional<placement_failure> RefusedByShare(
      exchange& each, const tl::expected<placement, placement_failure>& place, time_point now);
  /** Refuses a request that cannot end before this daemon stops; returns whether it did. */
  bool RefusedByStop(const arrived_request& arrived, const route& matched);
  /** Refuses a request that no route matches. */
  void RefuseRouteless(const arrived_request& arrived);
  /** Returns whether another daemon has reported a newer configuration. */
  bool IsConfigBehind() const { return peers_.newest_config_version() > config_version(); }

  // Placing and sending requests.
  /** Places and sends a request; `build` is set if it resumes a stream. */
  void Admit(arrived_request arrived, std::optional<software_build> build);
  /** Counts the request, once among all daemons, for the retry budget. */
  void EarnRetries(exchange& each, time_point now);
  const weighted_service& PickTarget(const route& matched);
  placement_query QueryFor(const exchange& each, time_point now) const;
  tl::expected<placement, placement_failure> Choose(const exchange& each,
                                                    const placement_query& query, time_point now);
  tl::expected<placement, placement_failure> Place(const exchange& each, time_point now);
  void Send(exchange& each, const placement& place, time_point now);
  /** Sends a request whose prompt was prefilled elsewhere to a decode engine. */
  void SendPrefilledPrompt(exchange& each, time_point now);
  void SendPrefill(exchange& each, const placement& place, time_point now);
  void SendRun(exchange& each, upstream_id at, std::uint64_t unread, duration expected,
               time_point now);
  void Open(exchange& each, fleet_upstream& row, const run_terms& terms, time_point now);
  int UpstreamPriority(const exchange& each, bool fetches) const;

  // Leaving the data centre.
  void CountDaemons(const std::vector<daemon_record>& others);
  void RecordLeaving(const exchange& each, const placement& place);
  /** Counts the bytes of a call that has ended. */
  void RecordCrossingBytes(exchange& each, const fleet_upstream& row);
  /** Compares the time of a call with what was expected; `taken` ends with its first byte. */
  void RecordLinkResult(const exchange& each, const fleet_upstream& row, duration taken,
                        time_point now);
  static std::uint64_t RequestBytes(const exchange& each);

  // Passing requests on to other daemons.
  /** Returns whether the request should not be placed here, since no upstream is reached. */
  bool ShouldPassOn(const exchange& each, time_point now) const;
  /** Returns whether the reason is one that other daemons may not have. */
  static bool IsForLackOfUpstreams(std::string_view reason);
  /** What a refusal for that reason means to a daemon that passed the request on. */
  relay_outcome OutcomeOf(const exchange& each, std::string_view reason) const;
  /** Passes a request that is not running on to another daemon; returns whether it did. */
  bool PassOn(exchange& each, time_point now);
  bool MayPassOn(const exchange& each, time_point now) const;
  void OnPassedOnHead(exchange& each, const attempt_head& head);
  void FinishPassedOn(exchange& each, time_point now);
  void RecoverPassedOn(exchange& each, const attempt_lost& lost, time_point now);
  /** Avoids the daemon that has been silent; its answer is still waited for. */
  void StallPassedOn(exchange& each, time_point now);
  /** Ends a request that the daemon it was passed on to has not run. */
  void OnNotRunElsewhere(exchange& each, time_point now);
  /** Sends a complete answer, to another daemon with what became of the request. */
  void AnswerCaller(const exchange& each, http_answer answer, relay_outcome outcome);
  void BeginAnswer(const exchange& each);
  /** Raises a suspicion if calls are open and all upstreams are silent. */
  void CheckSilence(time_point now);

  // Forwarding answers to the caller.
  void RecordFirstByte(exchange& each, time_point now);
  void FinishPrefill(exchange& each, time_point now);
  void FinishPlain(exchange& each, time_point now);
  void FinishStream(exchange& each, time_point now);
  /** Returns whether more of the answer may be buffered; an upstream may send without end. */
  bool FitsBuffer(const exchange& each) const;
  /** Returns whether the answer is a stream of events, or the rest of one that broke off. */
  static bool IsEventStream(const exchange& each);
  void RelayEvents(exchange& each, std::string_view bytes);
  void ForwardEvents(exchange& each, std::string_view events, time_point now);
  /** Reads the call's upstream no faster than the caller reads. */
  void FollowCaller(exchange& each, time_point now);
  /** Counts what is buffered of a stream; `unsent` is what its caller has not taken. */
  void CountStream(const exchange& each, std::size_t unsent);
  void Deliver(exchange& each);
  /** Closes the caller's connection in the middle of its stream. */
  void AbortStream(exchange& each);
  /** Removes an upstream at whose address another one answered. */
  void OnUpstreamReplaced(const fleet_upstream& row, const answer_terms& terms, time_point now);
  bool IsDeliverable(const exchange& each) const;
  /**
   * Returns whether the connection was closed right after the head of a success that names no
   * length: an upstream that crashes closes it too.
   */
  static bool BreaksOffAfterHead(const exchange& each);

  // Upstreams that asked for time.
  /** Returns the failure, or that all upstreams asked for time and when the first one's ends. */
  placement_failure ExplainFailure(const exchange& each, const placement_failure& failure,
                                   time_point now);
  /** Returns whether all upstreams asked for time that ends too late for the request. */
  bool CannotBePlacedInTime(const exchange& each, time_point now);

  // Failure handling.
  void Recover(exchange& each, const call_problem& problem, time_point now);
  bool MayTryAgain(const exchange& each, const call_problem& problem, time_point now);
  void RecoverPrefill(exchange& each, std::string_view reason, time_point now);
  /** Handles a call that this host lacked the resources to send. */
  void RefuseUnsent(exchange& each, time_point now);
  /** Sends the final answer of a request that may have run. */
  void FailUnknown(exchange& each, std::string_view reason, int status);
  void GiveUp(exchange& each, const call_problem& problem, time_point now);
  void Expire(exchange& each, time_point now);
  void Stall(exchange& each, time_point now);
  /**
   * Returns when a call without progress counts as stalled although its upstream is alive: it
   * answers others but not this daemon, or sends bytes that complete no event.
   */
  time_point AnswerDue(const exchange& each, const fleet_upstream* row) const;
  /**
   * Returns where a silent or waiting request can go, or why it cannot. A silent call is cancelled
   * only when its successor is affordable: a sound upstream may be silent and go on.
   */
  tl::expected<placement, std::string_view> PlaceAgain(const exchange& each, time_point now);
  void Move(exchange& each, const placement& place, time_point now);
  /** Charges the extra calls to the retry budget and sends the request. */
  void SendAgain(exchange& each, const placement& place, time_point now);
  /** Returns whether a request that was moved waits for a place instead of failing. */
  bool MayWait(const exchange& each, time_point now);
  void Wait(exchange& each, std::string_view reason, time_point now);
  /** Ends the answer of a waiting request that no upstream will take before its deadline. */
  void EndWait(exchange& each);
  void LogStall(exchange& each, duration silence, std::string_view outcome, time_point now);
  void LogFailedCall(const exchange& each, const call_problem& problem, time_point now);
  /** Detects that this daemon did not run for a while, so it read no bytes either. */
  void DetectDelay(time_point now);
  /** Shortens the timeout of calls there that wait for their first byte, since none may come. */
  void ShortenStallTimeouts(const fleet_upstream& row, time_point now);
  void RecordFailure(fleet_upstream& row, const call_problem& problem, time_point now);

  void RefuseUnplaced(const arrived_request& arrived, int status, std::string_view reason,
                      duration retry_after);
  void Refuse(exchange& each, const placement_failure& why);

  http_answer ProblemAnswer(int status, std::string_view reason, duration retry_after) const;

  exchange* FindByAttempt(attempt_id attempt);
  /** Frees the capacity reserved for the call; further events of the call are ignored. */
  void Release(exchange& each);
  void Cancel(exchange& each);
  /** Asks the engine that prefilled the prompt to drop its KV cache, unless it wants no calls. */
  void DropHandle(exchange& each);
  void Close(exchange& each, std::string_view outcome, int status);
  route_meters& MetersOf(const route& matched);

  gateway_ports ports_;
  fleet_table fleet_;
  engine_speeds speeds_;
  demand_meter demand_;
  crossing_policy crossing_;
  crossing_meter crossing_meter_;
  engine_placement engines_;
  service_placement services_;
  retry_allowance allowance_;
  reachability_monitor reachability_;
  cut_off_detector cut_off_;
  relay_peers relay_peers_;
  peer_load_table peers_;
  statement_handler statements_;
  crash_recorder crash_recorder_;
  notice_writer notices_;
  flow_control flow_;
  stream_resumes resumes_;
  team_shares shares_;
  stop_admission stop_admission_;
  std::shared_ptr<const gateway_config> config_;
  bool fleet_known_ = false;
  std::uint64_t fleet_revision_ = 0;
  std::map<request_id, exchange> exchanges_;
  std::unordered_map<attempt_id, request_id> attempts_;
  /** When a byte of any upstream last arrived. */
  time_point heard_at_;
  time_point last_sweep_;
  time_point last_run_;
  /** Bytes that arrived before may be unread, so upstreams' silence counts from then on. */
  time_point reads_since_;
  std::map<std::string, std::unique_ptr<route_meters>> meters_;
};

}  // namespace hawthorndrum
