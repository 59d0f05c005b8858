/// Finds what a daemon's log says of one request.
#pragma once

#include <cstddef>
#include <istream>
#include <string>
#include <vector>

namespace hawthorndrum {

/** One line of the log; `text` is the object's fields as `name=value`. */
struct log_entry {
  /** Seconds since the epoch, by the host's wall clock. */
  double at = 0;
  std::string host;
  std::string event;
  std::string request;
  std::string upstream;
  std::string text;
};

/**
 * Reads log lines; whatever stands before a line's object is passed over, and lines without one are
 * counted.
 */
class log_story {
 public:
  void Read(std::istream& lines);

  /**
   * The request's lines, with what changed about its upstreams, the configuration and the store at
   * the same hosts shortly before. Empty when no line names the request.
   */
  std::vector<log_entry> Of(const std::string& request) const;
  std::size_t unreadable() const { return unreadable_; }

 private:
  std::vector<log_entry> entries_;
  std::size_t unreadable_ = 0;
};

/** The entries as text, with times from the first one. */
std::string ToText(const std::vector<log_entry>& entries);

}  // namespace hawthorndrum
