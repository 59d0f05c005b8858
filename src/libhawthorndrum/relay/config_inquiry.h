/// Decides when to ask another daemon for a configuration that the store does not deliver.
#pragma once

#include <boost/core/span.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "base/units.h"

namespace hawthorndrum {

class random_source;
struct daemon_record;

/**
 * Other daemons' notices tell that a newer configuration exists. The store usually delivers it at
 * about the same time; if it does not, daemons are asked at random, one at a time.
 */
class config_inquiry {
 public:
  /** How long the store may take after the first report of a newer version. */
  static constexpr duration kStoreGrace = milliseconds(300);
  static constexpr duration kPause = milliseconds(200);
  static constexpr duration kMaxPause = seconds(5);

  explicit config_inquiry(random_source& random) : random_(random) {}

  /** Returns the address of the daemon to ask now; the answer is reported with OnAnswer. */
  std::optional<std::string> Next(std::uint64_t own_version, std::uint64_t newest_version,
                                  boost::span<const daemon_record> others, time_point now);
  /**
   * The daemon had no newer version, was not reached, or sent one that cannot be read; the last is
   * asked for less and less often.
   */
  void OnAnswer(bool unreadable, time_point now);

 private:
  random_source& random_;
  std::uint64_t own_version_ = 0;
  time_point next_;
  duration pause_ = kPause;
  bool is_behind_ = false;
  bool asking_ = false;
};

}  // namespace hawthorndrum
