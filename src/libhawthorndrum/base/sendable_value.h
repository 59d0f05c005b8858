/// Texts from outside that are sent on in headers.
#pragma once

#include <string_view>

namespace hawthorndrum {

/**
 * Returns whether the text can be sent as a header's value: without control characters, which could
 * begin another header, and of a length that the HTTP library holds.
 */
bool IsSendableValue(std::string_view text);

}  // namespace hawthorndrum
