/// Checked reading of typed items from a decoded CBOR array.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace hawthorndrum {

/**
 * Reads the items of an array in order. Once an item is missing, has another type or exceeds its
 * limit, ok() is false and the results of that read and all later ones are meaningless.
 */
class cbor_reader {
 public:
  explicit cbor_reader(const nlohmann::json& array) : array_(array), ok_(array.is_array()) {}

  std::uint64_t Unsigned(std::uint64_t max = UINT64_MAX) {
    const nlohmann::json* item = Next();
    if (item == nullptr || !item->is_number_unsigned()) return Fail();
    const auto value = item->get<std::uint64_t>();
    return value <= max ? value : Fail();
  }

  std::string Text(std::size_t max_size) {
    const nlohmann::json* item = Next();
    if (item == nullptr || !item->is_string()) return Fail(), std::string();
    const auto& text = item->get_ref<const std::string&>();
    if (text.size() > max_size) return Fail(), std::string();
    return text;
  }

  /** Reads an array of at most `max` items; returns nullptr on failure. */
  const nlohmann::json* Array(std::size_t max) {
    const nlohmann::json* item = Next();
    if (item == nullptr || !item->is_array() || item->size() > max) return Fail(), nullptr;
    return item;
  }

  std::vector<std::uint8_t> Bytes(std::size_t max_size) {
    const nlohmann::json* item = Next();
    if (item == nullptr || !item->is_binary() || item->get_binary().size() > max_size) {
      return Fail(), std::vector<std::uint8_t>();
    }
    return item->get_binary();
  }

  /** Returns whether every read so far succeeded. */
  bool ok() const { return ok_; }
  /** Returns whether every read succeeded and no item is left. */
  bool AtEnd() const { return ok_ && position_ == array_.size(); }
  bool HasMore() const { return ok_ && position_ < array_.size(); }

 private:
  const nlohmann::json* Next() {
    if (!ok_ || position_ >= array_.size()) return nullptr;
    return &array_[position_++];
  }
  std::uint64_t Fail() {
    ok_ = false;
    return 0;
  }

  const nlohmann::json& array_;
  std::size_t position_ = 0;
  bool ok_;
};

}  // namespace hawthorndrum
