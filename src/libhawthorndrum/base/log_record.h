/// One structured log line.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hawthorndrum {

/**
 * Builds a JSON object whose first field is the event's name. Field names are written unescaped;
 * values are escaped.
 */
class log_record {
 public:
  explicit log_record(std::string_view event);

  log_record& Text(std::string_view field, std::string_view value);
  log_record& Number(std::string_view field, std::int64_t value);
  log_record& Decimal(std::string_view field, double value);
  log_record& Flag(std::string_view field, bool value);

  const std::string& event() const { return event_; }
  /** Returns the complete line, without a line break. */
  std::string ToLine() const { return line_ + "}"; }

 private:
  void BeginField(std::string_view field);

  std::string event_;
  std::string line_;
};

}  // namespace hawthorndrum
