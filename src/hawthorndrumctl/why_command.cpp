/// Finds the decisions about a request by its id.
#include "why_command.h"

#include <fstream>
#include <iostream>
#include <ostream>

#include "common_options.h"
#include "request_timeline.h"

namespace hawthorndrum {

why_command::why_command()
    : section_command({"why",
                       "explain what became of a request",
                       "[REQUEST]",
                       "why",
                       {},
                       "REQUEST is the X-Request-Id of an answer of this daemon. Without it, the "
                       "latest requests.\nWith --log, the request's id in the log lines; FILE may "
                       "be - for standard input.\n"}) {}

std::vector<option_spec> why_command::options() const {
  std::vector<option_spec> all = section_command::options();
  option_spec log;
  log.name = "log";
  log.value = "FILE";
  log.help = "read daemons' log lines instead of asking one";
  all.insert(all.begin(), log);
  return all;
}

exit_code why_command::Run(const arguments& args, command_streams streams) const {
  if (!args.Has("log")) return section_command::Run(args, streams);
  return ExplainFromLog(args.Value("log"), args, streams);
}

exit_code why_command::ExplainFromLog(const std::string& file, const arguments& args,
                                      command_streams streams) {
  if (args.operands().size() != 1) {
    return Fail(streams, {error_code::kInvalid, "expected: why --log FILE REQUEST"});
  }
  request_timeline timeline;
  if (file == "-") {
    timeline.Read(std::cin);
  } else {
    std::ifstream lines(file);
    if (!lines) return Fail(streams, {error_code::kNotFound, "can't read " + file});
    timeline.Read(lines);
  }
  const std::string& request = args.operands().front();
  const std::vector<log_entry> found = timeline.EntriesFor(request);
  if (found.empty()) return Fail(streams, {error_code::kNotFound, "no log entry for " + request});
  streams.out << ToText(found);
  return exit_code::kDone;
}

}  // namespace hawthorndrum
