/// Checked reading of fields out of JSON or CBOR that came from outside.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace hawthorndrum {

/**
 * Reads fields of one object. The first field that is missing or of another type clears ok();
 * nothing throws.
 */
class json_fields {
 public:
  explicit json_fields(const nlohmann::json& object) : object_(object), ok_(object.is_object()) {}

  std::uint64_t Unsigned(std::string_view name, std::uint64_t largest = UINT64_MAX) {
    const nlohmann::json* field = Find(name);
    if (field == nullptr || !field->is_number_unsigned()) return Fail();
    const auto value = field->get<std::uint64_t>();
    return value > largest ? Fail() : value;
  }

  bool Flag(std::string_view name) {
    const nlohmann::json* field = Find(name);
    if (field == nullptr || !field->is_boolean()) return Fail() != 0;
    return field->get<bool>();
  }

  std::string Text(std::string_view name, std::size_t longest = 512) {
    const nlohmann::json* field = Find(name);
    const bool good = field != nullptr && field->is_string() &&
                      field->get_ref<const std::string&>().size() <= longest;
    if (good) return field->get<std::string>();
    Fail();
    return {};
  }

  /** Returns the array, or an empty one. */
  const nlohmann::json& Array(std::string_view name) {
    static const nlohmann::json kEmpty = nlohmann::json::array();
    const nlohmann::json* field = Find(name);
    if (field != nullptr && field->is_array()) return *field;
    Fail();
    return kEmpty;
  }

  bool ok() const { return ok_; }

 private:
  const nlohmann::json* Find(std::string_view name) const {
    if (!ok_) return nullptr;
    const auto found = object_.find(std::string(name));
    return found == object_.end() ? nullptr : &*found;
  }

  std::uint64_t Fail() {
    ok_ = false;
    return 0;
  }

  const nlohmann::json& object_;
  bool ok_;
};

}  // namespace hawthorndrum
