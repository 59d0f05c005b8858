/// Parses and formats quantities with units.
#include "base/quantity.h"

#include <array>
#include <charconv>
#include <cmath>

namespace hawthorndrum {
namespace {

struct unit {
  std::string_view name;
  double factor;
};

constexpr std::array<unit, 5> kTimeUnits{
    {{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"min", 60e6}, {"h", 3600e6}}};
constexpr std::array<unit, 4> kSizeUnits{
    {{"B", 1}, {"KiB", 1024}, {"MiB", 1024.0 * 1024}, {"GiB", 1024.0 * 1024 * 1024}}};
constexpr double kLargestQuantity = 1e15;

tl::unexpected<error> Invalid(std::string message) {
  return tl::make_unexpected(error{error_code::kInvalid, std::move(message)});
}

template <std::size_t N>
expected<double> ParseQuantity(std::string_view text, const std::array<unit, N>& units,
                               const char* expectation) {
  const std::size_t end = text.find_first_not_of("0123456789.");
  const std::string_view digits = text.substr(0, end);
  const std::string_view name = end == std::string_view::npos ? "" : text.substr(end);
  const expected<double> number = ParseNumber(digits);
  if (!number) return Invalid(std::string("expected ") + expectation);
  for (const unit& candidate : units) {
    if (candidate.name != name) continue;
    const double value = *number * candidate.factor;
    if (value > kLargestQuantity) return Invalid("too large");
    return value;
  }
  if (name.empty()) return Invalid(std::string("the unit is missing: expected ") + expectation);
  return Invalid("unknown unit \"" + std::string(name) + "\": expected " + expectation);
}

}  // namespace

expected<double> ParseNumber(std::string_view text) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [stopped, problem] = std::from_chars(text.data(), end, value);
  if (problem != std::errc() || stopped != end || !std::isfinite(value)) {
    return Invalid("expected a number");
  }
  return value;
}

expected<duration> ParseDuration(std::string_view text) {
  return ParseQuantity(text, kTimeUnits, "a time such as 250ms, 8s or 5min").map([](double value) {
    return duration(static_cast<duration::rep>(value));
  });
}

expected<std::uint64_t> ParseBytes(std::string_view text) {
  return ParseQuantity(text, kSizeUnits, "a size such as 512KiB or 64MiB").map([](double value) {
    return static_cast<std::uint64_t>(value);
  });
}

std::string FormatDuration(duration time) {
  const unit* best = &kTimeUnits.front();
  for (const unit& candidate : kTimeUnits) {
    const auto factor = static_cast<duration::rep>(candidate.factor);
    if (time.count() != 0 && time.count() % factor == 0) best = &candidate;
  }
  const auto count = time.count() / static_cast<duration::rep>(best->factor);
  return std::to_string(count) + std::string(best->name);
}

}  // namespace hawthorndrum
