/// From a request's id to what was decided about it.
#include "why_command.h"

#include <fstream>
#include <iostream>
#include <ostream>

#include "common_options.h"
#include "log_story.h"

namespace hawthorndrum {

why_command::why_command()
    : section_command({"why",
                       "explain what became of a request",
                       "[REQUEST]",
                       "why",
                       {},
                       "REQUEST is the X-Request-Id of an answer of this daemon. Without it, the "
                       "last ones.\nWith --log, the id that its log lines bear; FILE may be - for "
                       "standard input.\n"}) {}

std::vector<option_spec> why_command::options() const {
  std::vector<option_spec> all = section_command::options();
  option_spec log;
  log.name = "log";
  log.value = "FILE";
  log.help = "read daemons' log lines instead of asking one";
  all.insert(all.begin(), log);
  return all;
}

exit_code why_command::Run(const arguments& given, command_streams streams) const {
  if (!given.Has("log")) return section_command::Run(given, streams);
  return FromLog(given.Value("log"), given, streams);
}

exit_code why_command::FromLog(const std::string& file, const arguments& given,
                               command_streams streams) {
  if (given.operands().size() != 1) {
    return Fail(streams, {error_code::kInvalid, "expected: why --log FILE REQUEST"});
  }
  log_story story;
  if (file == "-") {
    story.Read(std::cin);
  } else {
    std::ifstream lines(file);
    if (!lines) return Fail(streams, {error_code::kNotFound, "can't read " + file});
    story.Read(lines);
  }
  const std::string& request = given.operands().front();
  const std::vector<log_entry> found = story.Of(request);
  if (found.empty()) return Fail(streams, {error_code::kNotFound, "no line names " + request});
  streams.out << ToText(found);
  return exit_code::kDone;
}

}  // namespace hawthorndrum
