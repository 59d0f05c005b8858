/// Checked reading of the fields of decoded CBOR items.
#include "base/cbor_fields.h"

#include <nlohmann/json.hpp>

#include "base/cbor.h"

namespace hawthorndrum {

using json = nlohmann::json;

expected<json> DecodeCborText(std::string_view bytes) {
  const auto* begin = reinterpret_cast<const std::uint8_t*>(bytes.data());
  return DecodeCbor(boost::span<const std::uint8_t>(begin, bytes.size()));
}

bool ReadField(const json& field, std::uint64_t& value) {
  if (!field.is_number_unsigned()) return false;
  value = field.get<std::uint64_t>();
  return true;
}

bool ReadField(const json& field, std::string& value) {
  if (field.is_string()) {
    value = field.get_ref<const std::string&>();
    return true;
  }
  if (!field.is_binary()) return false;
  const auto& bytes = field.get_binary();
  value.assign(bytes.begin(), bytes.end());
  return true;
}

std::string EncodeCborText(const json& item) {
  std::string text;
  json::to_cbor(item, text);
  return text;
}

json CborBytes(std::string_view text) {
  return json::binary(std::vector<std::uint8_t>(text.begin(), text.end()));
}

}  // namespace hawthorndrum
