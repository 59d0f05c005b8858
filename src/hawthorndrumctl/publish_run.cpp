/// Runs a publisher, and waits until the daemons have its generation in force.
#include "publish_run.h"

#include <sys/random.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <ctime>
#include <ostream>
#include <thread>

#include "admin_client.h"
#include "base/quantity.h"
#include "blocking_object_store.h"
#include "publish_text.h"
#include "stored_config.h"
#include "system_random.h"
#include "systems/publisher.h"

namespace hawthorndrum {
namespace {

constexpr duration kIdlePause = milliseconds(20);
constexpr duration kDefaultStoreTimeout = seconds(30);
constexpr duration kDefaultWait = seconds(60);
constexpr duration kSpreadPollInterval = milliseconds(250);

time_point Now() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(seconds(now.tv_sec) +
                    std::chrono::duration_cast<duration>(std::chrono::nanoseconds(now.tv_nsec)));
}

std::string DefaultAuthor() {
  const char* user = std::getenv("USER");
  std::array<char, 256> host{};
  gethostname(host.data(), host.size() - 1);
  return std::string(user == nullptr ? "unknown" : user) + "@" + host.data();
}

/** A progress line that overwrites itself; shown only if stderr is a terminal. */
class progress_line {
 public:
  explicit progress_line(std::ostream& stream)
      : stream_(stream), is_terminal_(isatty(STDERR_FILENO)) {}
  ~progress_line() { Show({}); }
  progress_line(const progress_line&) = delete;
  progress_line& operator=(const progress_line&) = delete;

  void Show(const std::string& text) {
    if (!is_terminal_ || text == last_) return;
    last_ = text;
    stream_ << "\r\033[K" << text << std::flush;
  }

 private:
  std::ostream& stream_;
  bool is_terminal_;
  std::string last_;
};

publish_result RunPublisher(blocking_object_store& store, publish_request request,
                            std::ostream& err) {
  system_random random;
  publisher run(store, random, std::move(request));
  progress_line line(err);
  run.Run(Now());
  while (!run.ended()) {
    line.Show(run.progress());
    if (!store.Pump()) std::this_thread::sleep_for(kIdlePause);
    run.Run(Now());
  }
  publish_result result = run.result();
  if (!store.last_problem().empty() && !result.message.empty()) {
    result.message += " (" + store.last_problem() + ")";
  }
  return result;
}

exit_code PrintResult(const publish_result& result, std::uint64_t publish_id, bool as_json,
                      command_streams streams) {
  streams.out << (as_json ? ResultAsJson(result, publish_id) : ResultAsText(result, publish_id));
  switch (result.status) {
    case publish_status::kPublished:
    case publish_status::kUnchanged:
    case publish_status::kPlanned:
      return exit_code::kDone;
    case publish_status::kConflict:
      return exit_code::kConflict;
    case publish_status::kRejected:
      return exit_code::kRefused;
    case publish_status::kGivenUp:
      return exit_code::kUnavailable;
    case publish_status::kRunning:
    case publish_status::kUnknown:
      return exit_code::kUnknown;
  }
  return exit_code::kUnknown;
}

/**
 * Whether the daemon has a generation that is not in the store's history, because the store was
 * restored from an old copy.
 */
bool HasAnotherHistory(const spread_report& report, const publish_result& result,
                       std::uint64_t publish_id, const arguments& args) {
  if (report.current < result.number) return false;
  if (report.current == result.number) {
    return result.status == publish_status::kPublished && report.publish_id != publish_id;
  }
  blocking_object_store store(http_endpoint{args.Value("store"), {}});
  const expected<config_head> newest = stored_config(store).Newest();
  return newest && newest->number < report.current;
}

exit_code WaitUntilInForce(const publish_result& result, std::uint64_t publish_id,
                           const arguments& args, command_streams streams) {
  const generation number = result.number;
  const expected<admin_client> client = admin_client::FromOptions(args);
  if (!client) return Fail(streams, client.error());
  const expected<duration> wait = TimeOption(args, "wait-time", kDefaultWait);
  if (!wait) return Fail(streams, wait.error());
  const time_point deadline = Now() + *wait;
  progress_line line(streams.err);
  std::string last;
  while (Now() < deadline) {
    const expected<spread_report> report = ReadSpread(*client);
    if (!report && report.error().code == error_code::kUnauthorised) {
      return Fail(streams, report.error());
    }
    last = report ? SpreadAsText(*report, number) : report.error().message;
    if (report && HasAnotherHistory(*report, result, publish_id, args)) {
      streams.err << "hawthorndrumctl: not in force: the daemons have generation "
                  << report->current.value()
                  << " of another history, so the store was restored from an "
                  << "old copy; publish with --floor " << report->current.value() + 1 << '\n';
      return exit_code::kNotYet;
    }
    if (report && !(report->lowest < number)) {
      streams.err << "generation " << number.value() << " is in force on " << report->daemons
                  << " daemons\n";
      return exit_code::kDone;
    }
    line.Show(last);
    std::this_thread::sleep_for(kSpreadPollInterval);
  }
  streams.err << "hawthorndrumctl: published, but not in force everywhere yet: " << last << '\n';
  return exit_code::kNotYet;
}

}  // namespace

std::vector<option_spec> PublishOptions() {
  return {kStoreOption,
          {"author", "NAME", "who publishes (default: user@host)"},
          {"note", "TEXT", "a comment that is kept in the history"},
          {"base", "GENERATION", "report a conflict if others changed a service after this"},
          {"publish-id", "ID", "find out how an earlier run with this id ended, or repeat it"},
          {"floor", "GENERATION", "lowest number that the new generation may get"},
          {"patience", "TIME", "how long to retry while the store does not answer (default: 30s)"},
          {"dry-run", "", "only show the difference to the generation in force"},
          {"wait", "", "wait until every daemon has it; needs --admin"},
          {"wait-time", "TIME", "how long to wait (default: 60s)"}};
}

expected<publish_request> RequestFromOptions(const arguments& args) {
  publish_request request;
  const expected<std::uint64_t> id = NumberOption(args, "publish-id", 0);
  const expected<std::uint64_t> base = NumberOption(args, "base", 0);
  const expected<std::uint64_t> floor = NumberOption(args, "floor", 0);
  const expected<duration> timeout = TimeOption(args, "patience", kDefaultStoreTimeout);
  if (!id) return tl::make_unexpected(id.error());
  if (!base) return tl::make_unexpected(base.error());
  if (!floor) return tl::make_unexpected(floor.error());
  if (!timeout) return tl::make_unexpected(timeout.error());
  request.settle = *id != 0;
  request.publish_id = *id != 0 ? *id : system_random().Draw();
  request.base = generation(*base);
  request.floor = generation(*floor);
  request.timeout = *timeout;
  request.author = args.Has("author") ? args.Value("author") : DefaultAuthor();
  request.note = args.Value("note");
  request.time = std::time(nullptr);
  request.dry_run = args.Has("dry-run");
  return request;
}

exit_code PublishAndWait(publish_request request, const arguments& args, bool as_json,
                         command_streams streams) {
  if (args.Has("wait") && args.Value("admin").empty()) {
    return Fail(streams, {error_code::kInvalid, "--wait needs a daemon's --admin"});
  }
  const std::uint64_t id = request.publish_id;
  blocking_object_store store(http_endpoint{args.Value("store"), {}});
  const publish_result result = RunPublisher(store, std::move(request), streams.err);
  const exit_code code = PrintResult(result, id, as_json, streams);
  const bool in_force =
      result.status == publish_status::kPublished || result.status == publish_status::kUnchanged;
  if (!in_force || !args.Has("wait")) return code;
  return WaitUntilInForce(result, id, args, streams);
}

}  // namespace hawthorndrum
