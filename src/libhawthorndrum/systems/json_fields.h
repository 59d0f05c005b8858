/// Checked access to the fields of untrusted JSON or CBOR.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace hawthorndrum {

/**
 * Reads fields of one object. A field that is missing, of the wrong type or beyond its bound clears
 * ok(); nothing throws.
 */
class json_fields {
 public:
  explicit json_fields(const nlohmann::json& object) : object_(object), ok_(object.is_object()) {}

  std::uint64_t Unsigned(std::string_view name, std::uint64_t max_value = UINT64_MAX) {
    const nlohmann::json* field = Find(name);
    if (field == nullptr || !field->is_number_unsigned()) return Fail();
    const auto value = field->get<std::uint64_t>();
    return value > max_value ? Fail() : value;
  }

  /** Returns a number that is not negative. */
  double Number(std::string_view name) {
    const nlohmann::json* field = Find(name);
    if (field == nullptr || !field->is_number()) return static_cast<double>(Fail());
    const auto value = field->get<double>();
    return value < 0 ? static_cast<double>(Fail()) : value;
  }

  bool Flag(std::string_view name) {
    const nlohmann::json* field = Find(name);
    if (field == nullptr || !field->is_boolean()) return Fail() != 0;
    return field->get<bool>();
  }

  std::string Text(std::string_view name, std::size_t max_bytes = 512) {
    const nlohmann::json* field = Find(name);
    const bool is_valid = field != nullptr && field->is_string() &&
                          field->get_ref<const std::string&>().size() <= max_bytes;
    if (is_valid) return field->get<std::string>();
    Fail();
    return {};
  }

  /** Returns the array, or an empty one if the field is missing or not an array. */
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
