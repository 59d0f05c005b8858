/// Checked reading of the fields of decoded CBOR items from untrusted sources.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "base/error.h"

namespace hawthorndrum {

/** Decodes one bounded item; see DecodeCbor. */
expected<nlohmann::json> DecodeCborText(std::string_view bytes);

/** Reads an unsigned number; returns false for any other type. */
bool ReadField(const nlohmann::json& field, std::uint64_t& value);
/** Reads a text or byte string; returns false for any other type. */
bool ReadField(const nlohmann::json& field, std::string& value);

/** Reads an unsigned number as an id. */
template <typename Id>
bool ReadIdField(const nlohmann::json& field, Id& id) {
  std::uint64_t value = 0;
  if (!ReadField(field, value)) return false;
  id = Id(value);
  return true;
}

/** Reads an enumeration whose values run from 0 to `highest`. */
template <typename Enum>
bool ReadEnumField(const nlohmann::json& field, Enum highest, Enum& value) {
  std::uint64_t number = 0;
  if (!ReadField(field, number) || number > static_cast<std::uint64_t>(highest)) return false;
  value = static_cast<Enum>(number);
  return true;
}

/** Encodes the item as CBOR into a string. */
std::string EncodeCborText(const nlohmann::json& item);
/** Converts the text to a CBOR byte string, which may hold any bytes. */
nlohmann::json CborBytes(std::string_view text);

}  // namespace hawthorndrum
