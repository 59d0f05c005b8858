/// Runs a publisher against the store and shows its progress.
#pragma once

#include <string>

#include "command.h"
#include "common_options.h"
#include "tables/publish_request.h"

namespace hawthorndrum {

/** The options that describe a run: --store, --author, --note, --publish-id and so on. */
std::vector<option_spec> PublishOptions();

/** Fills in all fields but the changes, from the options, the clock and the environment. */
expected<publish_request> RequestFromOptions(const arguments& args);

/**
 * Publishes to --store, prints the result and, with --wait, waits until the generation is in force
 * on every daemon.
 */
exit_code PublishAndWait(publish_request request, const arguments& args, bool as_json,
                         command_streams streams);

}  // namespace hawthorndrum
