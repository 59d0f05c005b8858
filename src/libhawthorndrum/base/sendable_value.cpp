/// Texts from outside that are sent on in headers.
#include "base/sendable_value.h"

#include <algorithm>
#include <cstddef>

namespace hawthorndrum {

namespace {

/** Far below what the library holds, since other headers come with it. */
constexpr std::size_t kLongestSendable = 1024;

}  // namespace

bool IsSendableValue(std::string_view text) {
  const auto is_control = [](unsigned char c) { return c < ' ' || c == 0x7f; };
  return !text.empty() && text.size() <= kLongestSendable &&
         std::none_of(text.begin(), text.end(), is_control);
}

}  // namespace hawthorndrum
