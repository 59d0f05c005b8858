/// Drives a publishing run against the store, and shows how it goes.
#pragma once

#include <string>

#include "command.h"
#include "common_options.h"
#include "tables/publish_request.h"

namespace hawthorndrum {

/** The options that describe a run: --store, --author, --note, --publish-id and so on. */
std::vector<option_spec> PublishOptions();

/** Fills in everything but the changes from the options, the clock and the environment. */
expected<publish_request> RequestFromOptions(const arguments& given);

/** Runs it against --store, prints the result, and with --wait waits until it is in force. */
exit_code PublishAndWait(publish_request request, const arguments& given, bool as_json,
                         command_streams streams);

}  // namespace hawthorndrum
