/// Builds and reads the targets of requests whose parts may have any characters.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace hawthorndrum {

/** A name and its value in the query of a target. */
struct query_parameter {
  std::string_view name;
  std::string value;
};

/**
 * Returns the target with these path segments and query parameters. All but unreserved characters
 * (RFC 3986) of each part are percent-encoded, so that a slash, `&` or line break in a name stays
 * within its part.
 */
std::string UrlTarget(std::initializer_list<std::string_view> segments,
                      std::initializer_list<query_parameter> query = {});

/** Percent-encodes everything except unreserved characters and slashes, which divide the path. */
std::string EscapePath(std::string_view path);

/** Returns whether the text consists of unreserved characters only, which no encoding changes. */
bool IsUnreserved(std::string_view text);

/** Decodes percent-encoded characters; a `%` that is followed by no two digits stays as it is. */
std::string DecodeUrl(std::string_view text);

}  // namespace hawthorndrum
