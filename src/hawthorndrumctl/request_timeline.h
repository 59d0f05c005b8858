/// Extracts the timeline of one request from daemons' logs.
#pragma once

#include <cstddef>
#include <istream>
#include <string>
#include <vector>

namespace hawthorndrum {

/** One line of the log; `text` holds the other fields, including `upstream`, as `name=value`. */
struct log_entry {
  /** Seconds since the epoch, by the host's wall clock. */
  double at = 0;
  std::string host;
  std::string event;
  std::string request;
  std::string upstream;
  std::string suspect;
  std::string text;
};

/**
 * Reads log lines. Text before a line's JSON object is skipped; lines without a valid object that
 * has an event are counted as unreadable.
 */
class request_timeline {
 public:
  void Read(std::istream& lines);

  /**
   * The request's entries, and entries from the same hosts and about the same time that belong to
   * no request: those about its upstreams, and those about no upstream, such as changes of the
   * configuration and of the store. What upstreams say about themselves counts for longer. Empty if
   * no line names the request.
   */
  std::vector<log_entry> EntriesFor(const std::string& request) const;
  std::size_t unreadable() const { return unreadable_; }

 private:
  std::vector<log_entry> entries_;
  std::size_t unreadable_ = 0;
};

/** Formats the entries as text, with times relative to the first entry. */
std::string ToText(const std::vector<log_entry>& entries);

}  // namespace hawthorndrum
