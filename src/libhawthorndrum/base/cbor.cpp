/// Checks the item's structure first, then decodes it with nlohmann/json.
#include "base/cbor.h"

#include <array>
#include <nlohmann/json.hpp>

namespace hawthorndrum {

namespace {

/**
 * Scans one item without recursion, so that deeply nested input can't exhaust the stack.
 */
class cbor_scanner {
 public:
  explicit cbor_scanner(boost::span<const std::uint8_t> bytes) : bytes_(bytes) {}

  bool Accepts() {
    remaining_[0] = 1;
    depth_ = 1;
    while (depth_ > 0) {
      if (remaining_[depth_ - 1] == 0) {
        --depth_;
        continue;
      }
      --remaining_[depth_ - 1];
      if (!ReadItem()) return false;
    }
    return position_ == bytes_.size();
  }

 private:
  static constexpr int kUnsigned = 0, kNegative = 1, kBytes = 2, kText = 3, kArray = 4, kMap = 5,
                       kSimple = 7;

  bool ReadItem() {
    if (position_ >= bytes_.size()) return false;
    const int major_type = bytes_[position_] >> 5;
    const int additional_info = bytes_[position_] & 31;
    ++position_;
    std::uint64_t value = 0;
    if (!ReadArgument(additional_info, value)) return false;
    switch (major_type) {
      case kUnsigned:
      case kNegative:
      case kSimple:
        return true;
      case kBytes:
      case kText:
        if (value > bytes_.size() - position_) return false;
        position_ += value;
        return true;
      case kArray:
        return OpenContainer(value, 1);
      case kMap:
        return OpenContainer(value, 2);
      default:
        return false;
    }
  }

  /** Reads the argument of the initial byte; indefinite lengths are rejected. */
  bool ReadArgument(int additional_info, std::uint64_t& value) {
    if (additional_info < 24) {
      value = static_cast<std::uint64_t>(additional_info);
      return true;
    }
    if (additional_info > 27) return false;
    const std::size_t width = std::size_t{1} << (additional_info - 24);
    if (width > bytes_.size() - position_) return false;
    for (std::size_t i = 0; i < width; ++i) value = value << 8 | bytes_[position_ + i];
    position_ += width;
    return true;
  }

  bool OpenContainer(std::uint64_t count, std::uint64_t items_each) {
    if (count > bytes_.size() - position_) return false;
    if (depth_ > kMaxCborDepth) return false;
    remaining_[depth_++] = count * items_each;
    return true;
  }

  boost::span<const std::uint8_t> bytes_;
  std::size_t position_ = 0;
  /** The items still expected at each level; level 0 holds the single top-level item. */
  std::array<std::uint64_t, kMaxCborDepth + 1> remaining_{};
  int depth_ = 0;
};

}  // namespace

bool IsBoundedCbor(boost::span<const std::uint8_t> bytes) { return cbor_scanner(bytes).Accepts(); }

expected<nlohmann::json> DecodeCbor(boost::span<const std::uint8_t> bytes) {
  if (!IsBoundedCbor(bytes)) return tl::make_unexpected(error{error_code::kInvalid, "not CBOR"});
  try {
    nlohmann::json value = nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (!value.is_discarded()) return value;
  } catch (const nlohmann::json::exception&) {
    // The library throws on some lengths although exceptions are disabled.
  }
  return tl::make_unexpected(error{error_code::kInvalid, "not CBOR"});
}

std::vector<std::uint8_t> EncodeCbor(const nlohmann::json& value) {
  return nlohmann::json::to_cbor(value);
}

}  // namespace hawthorndrum
