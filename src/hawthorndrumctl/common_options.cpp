/// Reads the shared options.
#include "common_options.h"

#include <charconv>
#include <ostream>

#include "base/quantity.h"

namespace hawthorndrum {
namespace {

tl::unexpected<error> UsageError(std::string message) {
  return tl::make_unexpected(error{error_code::kInvalid, std::move(message)});
}

}  // namespace

std::vector<option_spec> AdminOptions() {
  return {kAdminOption,   kTokenFileOption, kAuthorityOption,
          kTimeoutOption, kOutputOption,    kHelpOption};
}

expected<bool> WantsJson(const arguments& args) {
  const std::string value = args.Value("output");
  if (value.empty() || value == "table") return false;
  if (value == "json") return true;
  return UsageError("--output: expected table or json");
}

expected<duration> TimeOption(const arguments& args, std::string_view option,
                              duration default_value) {
  if (!args.Has(option)) return default_value;
  expected<duration> time = ParseDuration(args.Value(option));
  if (!time) return UsageError("--" + std::string(option) + ": " + time.error().message);
  return time;
}

expected<std::uint64_t> NumberOption(const arguments& args, std::string_view option,
                                     std::uint64_t default_value) {
  if (!args.Has(option)) return default_value;
  const std::string text = args.Value(option);
  std::uint64_t number = 0;
  const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (problem != std::errc() || end != text.data() + text.size()) {
    return UsageError("--" + std::string(option) + ": expected a whole number");
  }
  return number;
}

exit_code Fail(command_streams streams, const error& problem) {
  streams.err << "hawthorndrumctl: " << problem.message << '\n';
  switch (problem.code) {
    case error_code::kInvalid:
    case error_code::kTooLarge:
      return exit_code::kUsage;
    case error_code::kNotFound:
      return exit_code::kNotFound;
    case error_code::kConflict:
      return exit_code::kConflict;
    case error_code::kUnauthorised:
      return exit_code::kUnauthorised;
    case error_code::kUnknownOutcome:
      return exit_code::kUnknown;
    case error_code::kUnavailable:
    case error_code::kAddressInUse:
    case error_code::kTimeout:
      return exit_code::kUnavailable;
  }
  return exit_code::kUnavailable;
}

}  // namespace hawthorndrum
