/// A walk over the item's structure first, then decoding by nlohmann/json.
#include "base/cbor.h"

#include <array>
#include <nlohmann/json.hpp>

namespace hawthorndrum {

namespace {

/**
 * Walks over one item without recursion, so that hostile nesting can't exhaust the stack.
 */
class cbor_walk {
 public:
  explicit cbor_walk(boost::span<const std::uint8_t> bytes) : bytes_(bytes) {}

  bool Accepts() {
    open_[0] = 1;
    depth_ = 1;
    while (depth_ > 0) {
      if (open_[depth_ - 1] == 0) {
        --depth_;
        continue;
      }
      --open_[depth_ - 1];
      if (!TakeItem()) return false;
    }
    return place_ == bytes_.size();
  }

 private:
  static constexpr int kUnsigned = 0, kNegative = 1, kBytes = 2, kText = 3, kArray = 4, kMap = 5,
                       kSimple = 7;

  bool TakeItem() {
    if (place_ >= bytes_.size()) return false;
    const int major = bytes_[place_] >> 5;
    const int low = bytes_[place_] & 31;
    ++place_;
    std::uint64_t value = 0;
    if (!TakeArgument(low, value)) return false;
    switch (major) {
      case kUnsigned:
      case kNegative:
      case kSimple:
        return true;
      case kBytes:
      case kText:
        if (value > bytes_.size() - place_) return false;
        place_ += value;
        return true;
      case kArray:
        return Open(value, 1);
      case kMap:
        return Open(value, 2);
      default:
        return false;
    }
  }

  /** Reads the number that follows the first byte; lengths left open are not accepted. */
  bool TakeArgument(int low, std::uint64_t& value) {
    if (low < 24) {
      value = static_cast<std::uint64_t>(low);
      return true;
    }
    if (low > 27) return false;
    const std::size_t width = std::size_t{1} << (low - 24);
    if (width > bytes_.size() - place_) return false;
    for (std::size_t i = 0; i < width; ++i) value = value << 8 | bytes_[place_ + i];
    place_ += width;
    return true;
  }

  bool Open(std::uint64_t count, std::uint64_t items_each) {
    if (count > bytes_.size() - place_) return false;
    if (depth_ > kMaxCborDepth) return false;
    open_[depth_++] = count * items_each;
    return true;
  }

  boost::span<const std::uint8_t> bytes_;
  std::size_t place_ = 0;
  /** Items still to come in each open container; the outermost holds the one item itself. */
  std::array<std::uint64_t, kMaxCborDepth + 1> open_{};
  int depth_ = 0;
};

}  // namespace

bool IsBoundedCbor(boost::span<const std::uint8_t> bytes) { return cbor_walk(bytes).Accepts(); }

expected<nlohmann::json> DecodeCbor(boost::span<const std::uint8_t> bytes) {
  if (!IsBoundedCbor(bytes)) return tl::make_unexpected(error{error_code::kInvalid, "not CBOR"});
  try {
    nlohmann::json value = nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (!value.is_discarded()) return value;
  } catch (const nlohmann::json::exception&) {
    // The library throws on some lengths even when told not to.
  }
  return tl::make_unexpected(error{error_code::kInvalid, "not CBOR"});
}

std::vector<std::uint8_t> EncodeCbor(const nlohmann::json& value) {
  return nlohmann::json::to_cbor(value);
}

}  // namespace hawthorndrum
