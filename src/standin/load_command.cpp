/// The command line of the load tool.
#include "load_command.h"

#include <getopt.h>

#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "load_tool.h"

namespace hawthorndrum {

namespace {

constexpr int kUsageExitCode = 2;
constexpr double kMaxRequests = 1e6;

constexpr char kUsage[] =
    "Usage: hawthorndrum-standin load --target IP:PORT [--target IP:PORT ...] [options]\n"
    "\n"
    "Sends requests on schedule, regardless of earlier answers, and prints the results as JSON.\n"
    "Times are measured from the moment at which a request was due.\n"
    "\n"
    "  --path PATH             default /v1/chat/completions\n"
    "  --rate N                requests per second, default 10\n"
    "  --seconds N             default 5\n"
    "  --model NAME            default oak-7b\n"
    "  --prompt-tokens N       default 100\n"
    "  --output-tokens N       default 16\n"
    "  --prompts N             number of different prompts, default 100\n"
    "  --plain                 send GET requests instead of completions\n"
    "  --useful-within-ms N    default 10000\n"
    "  --help                  this text\n";

enum option_value : int {
  kTarget = 256,
  kPath,
  kRate,
  kSeconds,
  kModel,
  kPromptTokens,
  kOutputTokens,
  kPrompts,
  kPlain,
  kUsefulWithin,
  kHelp,
};

constexpr option kOptions[] = {{"target", required_argument, nullptr, kTarget},
                               {"path", required_argument, nullptr, kPath},
                               {"rate", required_argument, nullptr, kRate},
                               {"seconds", required_argument, nullptr, kSeconds},
                               {"model", required_argument, nullptr, kModel},
                               {"prompt-tokens", required_argument, nullptr, kPromptTokens},
                               {"output-tokens", required_argument, nullptr, kOutputTokens},
                               {"prompts", required_argument, nullptr, kPrompts},
                               {"plain", no_argument, nullptr, kPlain},
                               {"useful-within-ms", required_argument, nullptr, kUsefulWithin},
                               {"help", no_argument, nullptr, kHelp},
                               {nullptr, 0, nullptr, 0}};

bool ApplyOption(int value, const char* argument, load_options& load) {
  switch (value) {
    case kTarget:
      load.targets.emplace_back(argument);
      return true;
    case kPath:
      load.path = argument;
      return true;
    case kRate:
      load.requests_per_second = std::atof(argument);
      return true;
    case kSeconds:
      load.time = duration(static_cast<std::int64_t>(std::atof(argument) * 1e6));
      return true;
    case kModel:
      load.model = argument;
      return true;
    case kPromptTokens:
      load.prompt_tokens = std::atoi(argument);
      return true;
    case kOutputTokens:
      load.output_tokens = std::atoi(argument);
      return true;
    case kPrompts:
      load.prompts = std::atoi(argument);
      return true;
    case kPlain:
      load.plain = true;
      return true;
    case kUsefulWithin:
      load.useful_within = milliseconds(std::atoi(argument));
      return true;
    default:
      return false;
  }
}

bool IsValid(const load_options& load) {
  const double requests = load.requests_per_second * ToSeconds(load.time);
  return !load.targets.empty() && load.requests_per_second > 0 && requests <= kMaxRequests &&
         load.prompt_tokens > 0 && load.output_tokens > 0 && load.prompts > 0;
}

}  // namespace

int RunLoadCommand(int argc, char** argv) {
  load_options load;
  for (int value; (value = getopt_long(argc, argv, "", kOptions, nullptr)) != -1;) {
    if (value == kHelp) {
      std::fputs(kUsage, stdout);
      return 0;
    }
    if (!ApplyOption(value, optarg, load)) return kUsageExitCode;
  }
  if (!IsValid(load)) {
    std::fputs(kUsage, stderr);
    return kUsageExitCode;
  }
  boost::asio::io_context io(1);
  const load_result result = load_tool(io, load).Run();
  std::puts(ToJson(result).dump(2).c_str());
  return 0;
}

}  // namespace hawthorndrum
