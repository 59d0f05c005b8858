/// Connects the gateway to its sockets and stops it gracefully.
#include "gateway_daemon.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "base/log_record.h"
#include "fatal_signals.h"
#include "gateway/wire_dialect.h"
#include "ports/engine_port.h"
#include "ports/object_store.h"
#include "process_memory.h"

namespace hawthorndrum {

namespace {

/** The load balancer probes every second and acts on the second not-ready answer in a row. */
constexpr duration kServeAfterStop = milliseconds(2600);
/**
 * A former process with these addresses has ended a moment after its grace period. One that starts
 * after this one failed would find them held as well.
 */
constexpr duration kAfterGrace = seconds(1);
constexpr duration kAddressCheckInterval = milliseconds(50);
constexpr duration kStopCheckInterval = milliseconds(50);
/** When only this much of the grace period is left, requests in flight are answered as failed. */
constexpr duration kStopReserve = milliseconds(500);
/** When only this much is left, these answers are no longer waited for. */
constexpr duration kExitReserve = milliseconds(300);
constexpr duration kSweepPeriod = seconds(1);
/** File descriptors reserved for connections to upstreams and the store, and for files. */
constexpr std::uint32_t kReservedDescriptors = 1200;
/** Connections of other daemons that pass requests on, and the headers that they add. */
constexpr std::size_t kRelayConnections = 400;
constexpr std::uint32_t kRelayHeaderBytes = 4096;

http_limits LimitsOf(const caller_limits& limits, std::uint32_t file_limit) {
  http_limits result;
  result.header_bytes = limits.header_bytes;
  result.body_bytes = limits.body_bytes;
  result.header_timeout = limits.header_timeout;
  result.idle_timeout = limits.idle_timeout;
  result.connections =
      file_limit > 2 * kReservedDescriptors ? file_limit - kReservedDescriptors : file_limit / 2;
  return result;
}

http_limits RelayLimits(const caller_limits& limits) {
  http_limits result;
  result.header_bytes = limits.header_bytes + kRelayHeaderBytes;
  result.body_bytes = limits.body_bytes;
  result.connections = kRelayConnections;
  return result;
}

/** Names the handling of the event for the log of a fatal signal. */
const char* ActivityOf(const event& handled) {
  if (std::holds_alternative<request_arrived>(handled)) return "request_arrived";
  if (std::holds_alternative<caller_gone>(handled)) return "caller_gone";
  if (std::holds_alternative<attempt_connected>(handled)) return "attempt_connected";
  if (std::holds_alternative<attempt_head>(handled)) return "attempt_head";
  if (std::holds_alternative<attempt_bytes>(handled)) return "attempt_bytes";
  if (std::holds_alternative<attempt_finished>(handled)) return "attempt_finished";
  if (std::holds_alternative<attempt_lost>(handled)) return "attempt_lost";
  if (std::holds_alternative<probe_ended>(handled)) return "probe_ended";
  if (std::holds_alternative<store_answered>(handled)) return "store_answered";
  if (std::holds_alternative<order_answered>(handled)) return "order_answered";
  return "other_event";
}

gateway_ports PortsOf(const gateway_settings& settings, caller_port& callers,
                      upstream_calls& upstreams, const wire_dialect& dialect, const clock& time,
                      random_source& random, event_log& log, metrics_registry& metrics,
                      stream_origins& origins, crash_evidence& crashes,
                      std::shared_ptr<byte_budget> budget) {
  gateway_ports ports;
  ports.callers = &callers;
  ports.upstreams = &upstreams;
  ports.dialect = &dialect;
  ports.time = &time;
  ports.random = &random;
  ports.log = &log;
  ports.metrics = &metrics;
  ports.origins = &origins;
  ports.crashes = &crashes;
  ports.host = settings.host;
  ports.data_centre = settings.data_centre;
  ports.incarnation = incarnation_id(random.Draw());
  ports.retries = settings.retries;
  ports.flow = flow_limits::ForMemory(settings.memory);
  ports.budget = std::move(budget);
  ports.crossing = settings.crossing;
  return ports;
}

}  // namespace

gateway_daemon::gateway_daemon(boost::asio::io_context& io, const gateway_settings& settings,
                               const wire_dialect& dialect)
    : io_(io),
      settings_(settings),
      log_(clock_, metrics_, settings.host),
      memory_(settings.memory, log_, metrics_),
      ticks_(io, *this, clock_, metrics_),
      client_(io),
      daemons_(settings.host),
      budget_(std::make_shared<byte_budget>(flow_limits::ForMemory(settings.memory).total)),
      refusals_(*budget_, log_, metrics_),
      caller_endpoint_(ticks_),
      relay_endpoint_(ticks_, daemons_),
      ready_endpoint_([this] { return ReadyPage(); }),
      metrics_endpoint_([this] {
        return http_answer{200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_.ToText()};
      }),
      caller_server_(io, caller_endpoint_, random_, metrics_, "callers",
                     LimitsOf({}, settings.file_limit), nullptr, budget_),
      relay_server_(io, relay_endpoint_, random_, metrics_, "daemons", RelayLimits({}), nullptr,
                    budget_),
      answers_(caller_server_, relay_server_),
      ready_server_(io, ready_endpoint_, random_, metrics_, "readiness", {}, nullptr, budget_),
      metrics_server_(io, metrics_endpoint_, random_, metrics_, "metrics", {}, nullptr, budget_),
      upstream_calls_(client_, ticks_, std::string(dialect.answer_id_header())),
      notices_(
          io, daemons_, clock_, metrics_,
          [this](const load_notice& notice) { gateway_.OnNotice(notice); },
          [this](const origin_message& message, const std::string& from) {
            origins_.OnMessage(message, from, clock_.Now());
          },
          [this](const crash_message& message, const std::string& from) {
            crashes_.OnMessage(message, from, clock_.Now());
          }),
      origins_(daemons_, notices_, settings.host, settings.data_centre),
      crashes_(daemons_, notices_, random_, log_, settings.host),
      gateway_(PortsOf(settings, answers_, upstream_calls_, dialect, clock_, random_, log_,
                       metrics_, origins_, crashes_, budget_)),
      exchange_(gateway_, daemons_, settings.host, settings.data_centre),
      retry_share_(settings.retries.window),
      shares_(notices_, daemons_, clock_, gateway_.shares(), incarnation_id(random_.Draw())),
      ports_(settings.stop_grace + kAfterGrace),
      start_timer_(io),
      stop_timer_(io) {
  caller_endpoint_.SetRefusals(refusals_);
  relay_endpoint_.SetRefusals(refusals_);
  ready_endpoint_.SetCallerPort(ready_server_);
  metrics_endpoint_.SetCallerPort(metrics_server_);
  origins_.SetListener(gateway_);
  Add(gateway_);
  Add(*this);
  Add(shares_);
  AddPorts();
}

gateway_daemon::~gateway_daemon() {
  ticks_.Stop();
  notices_.Close();
}

expected<void> gateway_daemon::Start() {
  log_.Write(log_importance::kImportant, log_record("starting")
                                             .Text("version", HAWTHORNDRUM_VERSION)
                                             .Text("build", HAWTHORNDRUM_BUILD));
  const auto opened = OpenPorts();
  if (opened && !started_) {
    log_.Write(log_importance::kImportant,
               log_record("start_waits")
                   .Text("why", ports_.problem().message)
                   .Number("for_ms", ToMilliseconds(settings_.stop_grace + kAfterGrace)));
  }
  return opened;
}

void gateway_daemon::AddPorts() {
  const auto add = [this](http_server& server, const std::string& address) {
    ports_.Add(
        [&server, address]() -> expected<void> {
          const auto port = server.Bind(address);
          if (!port) return tl::make_unexpected(port.error());
          return {};
        },
        [&server] { return server.Listen(); });
  };
  add(ready_server_, settings_.readiness_address);
  add(relay_server_, settings_.notices_address);
  ports_.Add([this] { return notices_.Open(settings_.notices_address); }, nullptr);
  // Callers come last: what they connect to can serve them.
  add(caller_server_, settings_.callers_address);
}

expected<void> gateway_daemon::OpenPorts() {
  const port_opener::state reached = ports_.Attempt(clock_.Now());
  if (reached == port_opener::state::kOpen) {
    OnPortsOpen();
    return {};
  }
  if (reached == port_opener::state::kWaiting) {
    WaitForAddresses();
    return {};
  }
  start_error_ = ports_.problem();
  log_.Write(log_importance::kImportant,
             log_record("start_failed").Text("why", start_error_->message));
  io_.stop();
  return tl::make_unexpected(*start_error_);
}

void gateway_daemon::WaitForAddresses() {
  start_timer_.expires_after(kAddressCheckInterval);
  start_timer_.async_wait([this](boost::system::error_code failed) {
    if (!failed) OpenPorts();
  });
}

void gateway_daemon::OpenMetrics() {
  if (metrics_open_ || settings_.metrics_address.empty()) return;
  const auto port = metrics_server_.Listen(settings_.metrics_address);
  metrics_open_ = port.has_value();
  if (metrics_open_ || std::exchange(lacks_metrics_, true)) return;
  log_.Write(log_importance::kImportant,
             log_record("metrics_unavailable").Text("why", port.error().message));
}

void gateway_daemon::OnPortsOpen() {
  started_ = true;
  OpenMetrics();
  ticks_.Start();
  log_.Write(log_importance::kImportant, log_record("started")
                                             .Text("version", HAWTHORNDRUM_VERSION)
                                             .Text("data_centre", settings_.data_centre)
                                             .Text("callers", settings_.callers_address)
                                             .Text("notices", settings_.notices_address)
                                             .Text("store", settings_.store_address));
}

http_answer gateway_daemon::ReadyPage() const {
  const bool ready = gateway_.is_ready() && !stopping_;
  return {ready ? 200 : 503, {{"Content-Type", "text/plain"}}, ready ? "ready\n" : "not ready\n"};
}

void gateway_daemon::Receive(event new_event) {
  SetActivity(ActivityOf(new_event));
  if (auto* arrived = std::get_if<request_arrived>(&new_event)) {
    if (arrived->from_peer)
      return gateway_.OnPassedOn(arrived->request, std::move(arrived->message));
    return gateway_.OnRequest(arrived->request, std::move(arrived->message));
  }
  if (const auto* gone = std::get_if<caller_gone>(&new_event)) {
    return gateway_.OnCallerGone(gone->request);
  }
  if (const auto* connected = std::get_if<attempt_connected>(&new_event))
    return gateway_.OnAttemptConnected(*connected);
  if (const auto* head = std::get_if<attempt_head>(&new_event))
    return gateway_.OnAttemptHead(*head);
  if (const auto* bytes = std::get_if<attempt_bytes>(&new_event)) {
    return gateway_.OnAttemptBytes(*bytes);
  }
  if (const auto* finished = std::get_if<attempt_finished>(&new_event)) {
    return gateway_.OnAttemptFinished(*finished);
  }
  if (const auto* lost = std::get_if<attempt_lost>(&new_event))
    return gateway_.OnAttemptLost(*lost);
  if (const auto* ended = std::get_if<probe_ended>(&new_event))
    return gateway_.OnProbeEnded(*ended);
  if (auto* answered = std::get_if<store_answered>(&new_event)) {
    return answered->listener->OnStoreAnswer(answered->call, answered->answer);
  }
  if (auto* answered = std::get_if<order_answered>(&new_event)) {
    return answered->listener->OnOrderAnswer(answered->answer);
  }
  if (const auto* answered = std::get_if<duty_answered>(&new_event)) {
    answered->listener->OnDutyAnswer(answered->call, answered->outcome);
  }
}

void gateway_daemon::ApplyLimits() {
  const auto config = gateway_.config();
  if (!config || config->version == limits_version_) return;
  limits_version_ = config->version;
  caller_server_.SetLimits(LimitsOf(config->limits, settings_.file_limit));
  relay_server_.SetLimits(RelayLimits(config->limits));
}

void gateway_daemon::Run(time_point now) {
  SetActivity("tick");
  ApplyLimits();
  FollowDaemons(now);
  origins_.Run(now);
  crashes_.Run(now);
  if (const auto due = exchange_.Run(now)) notices_.Send(*due);
  log_.Run(now);
  if (now - swept_at_ < kSweepPeriod) return;
  swept_at_ = now;
  OpenMetrics();
  client_.Sweep();
  memory_.Observe({ResidentBytes(), gateway_.held_bytes(),
                   caller_server_.connections() + relay_server_.connections(),
                   gateway_.in_flight()});
}

void gateway_daemon::FollowDaemons(time_point now) {
  if (daemons_.read_at() != daemons_read_at_) {
    daemons_read_at_ = daemons_.read_at();
    gateway_.SetDaemons(daemons_.others());
    retry_share_.OnListed(daemons_.others(), daemons_.lists_this(), *daemons_read_at_);
  }
  const double share = retry_share_.At(now);
  gateway_.SetRetryShare(share);
  if (share == std::exchange(last_retry_share_, share)) return;
  log_.Write(log_importance::kNotable,
             log_record("retry_share")
                 .Decimal("share", share)
                 .Number("daemons", static_cast<std::int64_t>(retry_share_.daemons()))
                 .Number("list_age_ms", ToMilliseconds(now - *daemons_read_at_)));
}

void gateway_daemon::BeginStop() {
  if (stopping_) return;
  stopping_ = true;
  stop_began_ = clock_.Now();
  origins_.HandOver();
  log_.Write(log_importance::kImportant,
             log_record("stopping")
                 .Number("in_flight", static_cast<std::int64_t>(gateway_.in_flight()))
                 .Number("connections", static_cast<std::int64_t>(caller_server_.connections())));
  if (!started_) return EndProcess("not_started");
  gateway_.BeginStop(stop_began_ + settings_.stop_grace - kStopReserve);
  caller_server_.CloseAfterAnswers();
  relay_server_.CloseAfterAnswers();
  stop_timer_.expires_after(std::min<duration>(kServeAfterStop, settings_.stop_grace / 2));
  stop_timer_.async_wait([this](boost::system::error_code failed) {
    if (!failed) StopAccepting();
  });
}

void gateway_daemon::StopAccepting() {
  caller_server_.StopListening();
  relay_server_.StopListening();
  StopWhenIdle();
}

void gateway_daemon::EndInFlight() {
  if (std::exchange(ended_all_, true)) return;
  log_.Write(log_importance::kImportant,
             log_record("grace_over")
                 .Number("in_flight", static_cast<std::int64_t>(gateway_.in_flight())));
  gateway_.EndAll();
}

void gateway_daemon::StopWhenIdle() {
  const duration left = settings_.stop_grace - (clock_.Now() - stop_began_);
  if (left < kStopReserve) EndInFlight();
  const bool idle = gateway_.in_flight() == 0 && caller_server_.busy_connections() == 0 &&
                    relay_server_.busy_connections() == 0;
  if (idle || left < kExitReserve) {
    return EndProcess(idle ? "idle" : "grace_over");
  }
  stop_timer_.expires_after(kStopCheckInterval);
  stop_timer_.async_wait([this](boost::system::error_code failed) {
    if (!failed) StopWhenIdle();
  });
}

void gateway_daemon::EndProcess(const char* reason) {
  log_.Write(log_importance::kImportant,
             log_record("stopped")
                 .Text("reason", reason)
                 .Number("in_flight", static_cast<std::int64_t>(gateway_.in_flight())));
  io_.stop();
}

}  // namespace hawthorndrum
