/// Dispatch to the subcommands, and their help.
#include "command_line.h"

#include <algorithm>
#include <ostream>

#include "base/spelling.h"
#include "check_command.h"
#include "common_options.h"
#include "config_command.h"
#include "publish_command.h"
#include "section_command.h"
#include "status_command.h"
#include "why_command.h"

namespace hawthorndrum {
namespace {

constexpr std::size_t kOptionWidth = 28;

std::string Pad(std::string text) {
  text.resize(std::max(text.size() + 1, kOptionWidth), ' ');
  return text;
}

std::string Overview(const std::vector<std::unique_ptr<command>>& commands) {
  std::string text =
      "usage: hawthorndrumctl COMMAND [OPTION]... [ARGUMENT]...\n\n"
      "Publishes service files and shows what hawthorndrum's daemons do.\n\ncommands:\n";
  for (const std::unique_ptr<command>& one : commands) {
    text += Pad("  " + std::string(one->name())) + std::string(one->summary()) + "\n";
  }
  return text + "\n`hawthorndrumctl COMMAND --help` shows a command's options.\n";
}

exit_code UnknownCommand(const std::string& name,
                         const std::vector<std::unique_ptr<command>>& commands, std::ostream& err) {
  std::vector<std::string_view> names;
  names.reserve(commands.size());
  for (const std::unique_ptr<command>& one : commands) names.push_back(one->name());
  const std::string hint = SuggestSpelling(name, names);
  err << "hawthorndrumctl: unknown command \"" << name << '"';
  if (!hint.empty()) err << " (" << hint << ')';
  err << '\n';
  return exit_code::kUsage;
}

}  // namespace

std::vector<std::unique_ptr<command>> AllCommands() {
  std::vector<std::unique_ptr<command>> commands;
  commands.push_back(std::make_unique<check_command>());
  commands.push_back(std::make_unique<publish_command>());
  commands.push_back(std::make_unique<config_command>());
  commands.push_back(std::make_unique<status_command>());
  for (section_spec& spec : SectionSpecs()) {
    commands.push_back(std::make_unique<section_command>(std::move(spec)));
  }
  commands.push_back(std::make_unique<why_command>());
  return commands;
}

std::string HelpText(const command& one) {
  std::string text = "usage: hawthorndrumctl " + std::string(one.name()) + " [OPTION]...";
  if (!one.operands().empty()) text += " " + std::string(one.operands());
  text += "\n\n" + std::string(one.summary()) + "\n\noptions:\n";
  for (const option_spec& spec : one.options()) {
    std::string left = "  --" + std::string(spec.name);
    if (!spec.value.empty()) left += " " + std::string(spec.value);
    text += Pad(std::move(left)) + std::string(spec.help);
    if (!spec.variable.empty()) text += " [" + std::string(spec.variable) + "]";
    text += "\n";
  }
  if (!one.details().empty()) text += "\n" + std::string(one.details());
  return text;
}

exit_code RunCommandLine(const std::vector<std::string>& words, command_streams streams) {
  const std::vector<std::unique_ptr<command>> commands = AllCommands();
  if (words.empty()) {
    streams.err << Overview(commands);
    return exit_code::kUsage;
  }
  if (words.front() == "--help" || words.front() == "help") {
    streams.out << Overview(commands);
    return exit_code::kDone;
  }
  for (const std::unique_ptr<command>& one : commands) {
    if (one->name() != words.front()) continue;
    const expected<arguments> args =
        arguments::Parse({words.begin() + 1, words.end()}, one->options());
    if (!args) return Fail(streams, args.error());
    if (args->Has("help")) {
      streams.out << HelpText(*one);
      return exit_code::kDone;
    }
    return one->Run(*args, streams);
  }
  return UnknownCommand(words.front(), commands, streams.err);
}

}  // namespace hawthorndrum
