/// The message in which one daemon tells others what it read from the platform's store.
#pragma once

#include <boost/core/span.hpp>
#include <cstdint>
#include <vector>

#include "base/error.h"
#include "feed/object_change.h"

namespace hawthorndrum {

enum class feed_message_kind : std::uint8_t {
  /** All changes after revision `from` up to `to`; without any, that the sender is at `to`. */
  kChanges,
  /** The sender is at revision `to`, and asks for the changes after it. */
  kQuestion,
};

struct feed_message {
  /** Changes in one message; a datagram has room for entries of this number. */
  static constexpr std::size_t kMaxChanges = 16;
  static constexpr std::size_t kMaxContentLength = 4096;

  feed_message_kind kind = feed_message_kind::kChanges;
  std::uint64_t from = 0;
  std::uint64_t to = 0;
  /** The revision of the last change that the sender knows. */
  std::uint64_t newest_change = 0;
  /** In the order of the changes. */
  std::vector<object_change> changes;
  /** The store's era, within which revisions are compared; 0 where it names none. */
  std::uint64_t era = 0;
};

std::vector<std::uint8_t> EncodeFeedMessage(const feed_message& message);
/** Returns kInvalid unless the bytes are a message of this kind and version. */
expected<feed_message> DecodeFeedMessage(boost::span<const std::uint8_t> bytes);

}  // namespace hawthorndrum
