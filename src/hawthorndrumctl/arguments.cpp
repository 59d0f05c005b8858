/// Command line parsing.
#include "arguments.h"

#include <getopt.h>

#include <cstdlib>

namespace hawthorndrum {
namespace {

constexpr int kFirstOption = 1000;

std::vector<option> ToGetopt(const std::vector<option_spec>& specs) {
  std::vector<option> table;
  for (std::size_t i = 0; i < specs.size(); ++i) {
    const int takes_value = specs[i].value.empty() ? no_argument : required_argument;
    table.push_back(
        {specs[i].name.data(), takes_value, nullptr, kFirstOption + static_cast<int>(i)});
  }
  table.push_back({nullptr, 0, nullptr, 0});
  return table;
}

tl::unexpected<error> UsageError(std::string message) {
  return tl::make_unexpected(error{error_code::kInvalid, std::move(message)});
}

}  // namespace

expected<arguments> arguments::Parse(const std::vector<std::string>& words,
                                     const std::vector<option_spec>& specs) {
  std::vector<std::string> storage{"hawthorndrumctl"};
  storage.insert(storage.end(), words.begin(), words.end());
  std::vector<char*> pointers;
  pointers.reserve(storage.size() + 1);
  for (std::string& argument : storage) pointers.push_back(argument.data());
  pointers.push_back(nullptr);

  arguments parsed;
  const std::vector<option> table = ToGetopt(specs);
  const int count = static_cast<int>(storage.size());
  optind = 0;
  opterr = 0;
  while (true) {
    const int code = getopt_long(count, pointers.data(), ":", table.data(), nullptr);
    if (code == -1) break;
    const std::string argument = optind > 0 ? pointers[optind - 1] : "";
    if (code == ':') return UsageError(argument + " needs a value");
    if (code < kFirstOption) return UsageError("unknown option " + argument);
    const option_spec& spec = specs[static_cast<std::size_t>(code - kFirstOption)];
    parsed.values_[std::string(spec.name)].emplace_back(optarg == nullptr ? "" : optarg);
  }
  for (int i = optind; i < count; ++i) parsed.operands_.emplace_back(pointers[i]);
  for (const option_spec& spec : specs) {
    if (spec.variable.empty() || parsed.Has(spec.name)) continue;
    const char* value = std::getenv(std::string(spec.variable).c_str());
    if (value != nullptr && *value != 0) parsed.values_[std::string(spec.name)].emplace_back(value);
  }
  return parsed;
}

bool arguments::Has(std::string_view option) const { return values_.find(option) != values_.end(); }

std::string arguments::Value(std::string_view option) const {
  const auto found = values_.find(option);
  return found == values_.end() ? std::string() : found->second.back();
}

std::vector<std::string> arguments::Values(std::string_view option) const {
  const auto found = values_.find(option);
  return found == values_.end() ? std::vector<std::string>() : found->second;
}

}  // namespace hawthorndrum
