/// Writes the fields of a log line.
#include "base/log_record.h"

#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace hawthorndrum {

namespace {

/** Returns the text as a JSON string; invalid UTF-8 is replaced. */
std::string Quoted(std::string_view text) {
  return nlohmann::json(std::string(text))
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

log_record::log_record(std::string_view event) : event_(event) {
  line_.reserve(256);
  line_ = "{\"event\":" + Quoted(event);
}

void log_record::BeginField(std::string_view field) {
  line_ += ",\"";
  line_ += field;
  line_ += "\":";
}

log_record& log_record::Text(std::string_view field, std::string_view value) {
  BeginField(field);
  line_ += Quoted(value);
  return *this;
}

log_record& log_record::Number(std::string_view field, std::int64_t value) {
  BeginField(field);
  line_ += std::to_string(value);
  return *this;
}

log_record& log_record::Decimal(std::string_view field, double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.4g", std::isfinite(value) ? value : 0.0);
  BeginField(field);
  line_ += text;
  return *this;
}

log_record& log_record::Flag(std::string_view field, bool value) {
  BeginField(field);
  line_ += value ? "true" : "false";
  return *this;
}

}  // namespace hawthorndrum
