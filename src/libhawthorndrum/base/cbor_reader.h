/// Reading typed fields out of a decoded CBOR array, with a check on each.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace hawthorndrum {

/**
 * Reads the items of an array in order. After a missing item or one of another type, ok() is false
 * and all further reads return nothing of worth.
 */
class cbor_reader {
 public:
  explicit cbor_reader(const nlohmann::json& array) : array_(array), ok_(array.is_array()) {}

  std::uint64_t Unsigned(std::uint64_t most = UINT64_MAX) {
    const nlohmann::json* item = Next();
    if (item == nullptr || !item->is_number_unsigned()) return Fail();
    const auto value = item->get<std::uint64_t>();
    return value <= most ? value : Fail();
  }

  std::string Text(std::size_t longest) {
    const nlohmann::json* item = Next();
    if (item == nullptr || !item->is_string()) return Fail(), std::string();
    const auto& text = item->get_ref<const std::string&>();
    if (text.size() > longest) return Fail(), std::string();
    return text;
  }

  /** An array of at most `most` items; nullptr when it is none. */
  const nlohmann::json* Array(std::size_t most) {
    const nlohmann::json* item = Next();
    if (item == nullptr || !item->is_array() || item->size() > most) return Fail(), nullptr;
    return item;
  }

  std::vector<std::uint8_t> Bytes(std::size_t longest) {
    const nlohmann::json* item = Next();
    if (item == nullptr || !item->is_binary() || item->get_binary().size() > longest) {
      return Fail(), std::vector<std::uint8_t>();
    }
    return item->get_binary();
  }

  /** Whether every read so far found what it wanted. */
  bool ok() const { return ok_; }
  /** Whether, besides, nothing is left over. */
  bool AtEnd() const { return ok_ && place_ == array_.size(); }
  bool HasMore() const { return ok_ && place_ < array_.size(); }

 private:
  const nlohmann::json* Next() {
    if (!ok_ || place_ >= array_.size()) return nullptr;
    return &array_[place_++];
  }
  std::uint64_t Fail() {
    ok_ = false;
    return 0;
  }

  const nlohmann::json& array_;
  std::size_t place_ = 0;
  bool ok_;
};

}  // namespace hawthorndrum
