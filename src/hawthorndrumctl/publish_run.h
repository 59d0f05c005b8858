/// Drives a publishing run against the store, and shows how it goes.
#pragma once

#include <string>

#include "command.h"
#include "common_options.h"
#include "tables/publish_request.h"

namespace hawthorndrum {

class blocking_object_store;

/** The options that describe a run: --store, --author, --note, --publish-id and so on. */
std::vector<option_spec> PublishOptions();

/** Fills in everything but the changes from the options, the clock and the environment. */
expected<publish_request> RequestFromOptions(const arguments& given);

/** Runs it to its end; prints a progress line on `err` when that is a terminal. */
publish_result RunPublisher(blocking_object_store& store, publish_request request,
                            std::ostream& err);

/** Prints the result and returns its exit code. */
exit_code PrintResult(const publish_result& result, std::uint64_t publish_id, bool as_json,
                      command_streams streams);

/** Waits until every daemon known to the one at --admin has the generation. */
exit_code WaitUntilInForce(generation number, const arguments& given, command_streams streams);

}  // namespace hawthorndrum
