/// Options that several subcommands share, and how their values are read.
#pragma once

#include <string>
#include <vector>

#include "arguments.h"
#include "base/units.h"
#include "command.h"
#include "http_client.h"

namespace hawthorndrum {

inline constexpr option_spec kHelpOption{"help", "", "show this help"};
inline constexpr option_spec kOutputOption{"output", "table|json", "how to print (default: table)"};
inline constexpr option_spec kStoreOption{"store", "ADDRESS", "the object API, ip:port",
                                          "HAWTHORNDRUM_STORE"};
inline constexpr option_spec kAdminOption{"admin", "ADDRESS", "a daemon's admin port, ip:port",
                                          "HAWTHORNDRUM_ADMIN"};
inline constexpr option_spec kTokenFileOption{
    "token-file", "FILE", "a file that holds the admin token", "HAWTHORNDRUM_ADMIN_TOKEN_FILE"};
inline constexpr option_spec kAuthorityOption{
    "authority", "FILE", "PEM file of the CA of the admin port's certificate: use TLS",
    "HAWTHORNDRUM_AUTHORITY"};
inline constexpr option_spec kTimeoutOption{"timeout", "TIME", "for one call (default: 5s)"};

/** --admin, --token-file, --authority, --timeout, --output and --help. */
std::vector<option_spec> AdminOptions();

/** Whether --output asks for JSON; an error for any value other than table and json. */
expected<bool> WantsJson(const arguments& args);
/** The time given for the option, or `default_value`. */
expected<duration> TimeOption(const arguments& args, std::string_view option,
                              duration default_value);
/** The whole number given for the option, or `default_value`. */
expected<std::uint64_t> NumberOption(const arguments& args, std::string_view option,
                                     std::uint64_t default_value);

/** Prints `hawthorndrumctl: message` and returns the exit code that belongs to the error. */
exit_code Fail(command_streams streams, const error& problem);

}  // namespace hawthorndrum
