/// Decides when a request leaves its data centre, and how many may.
///
/// Traffic between data centres is slower and billed, yet upstreams near the caller are sometimes
/// too few. Loads from there are old, and all daemons see the same ones.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "base/units.h"
#include "crossing/crossing_room.h"
#include "crossing/crossing_share.h"
#include "crossing/crossing_terms.h"
#include "crossing/link_results.h"

namespace hawthorndrum {

class random_source;

/**
 * Weighs the bytes and the link's delay against the time that a caller wins, and limits how many
 * requests use free slots elsewhere: an equal share of what is free there, smaller the busier that
 * data centre is and the worse this daemon's own calls did there.
 */
class crossing_policy {
 public:
  /** The most that bytes count; a request never fails for the price of its bytes alone. */
  static constexpr double kMaxPriceMs = 2000;

  crossing_policy(crossing_terms terms, std::string own_data_centre, random_source& random);

  /**
   * Sets the number of daemons in each data centre, this one included. Before that the daemons that
   * share the slots of another data centre are unknown, and this one may use none.
   */
  void SetDaemons(std::map<std::string, std::size_t> daemons) { daemons_ = std::move(daemons); }
  const std::string& own_data_centre() const { return own_data_centre_; }
  bool IsNear(std::string_view data_centre) const { return data_centre == own_data_centre_; }

  /** Returns what the bytes cost, as time of a caller's waiting in milliseconds. */
  double PriceMs(double bytes) const;
  /** Returns what moving a KV cache costs. */
  double KvPriceMs(double bytes) const;
  /** Returns the link's measured delay for a call there, in milliseconds. */
  double DelayMs(const std::string& data_centre) const;
  /** Returns whether leaving wins more than it costs. */
  bool Pays(double won_ms, double bytes, const std::string& service,
            const std::string& data_centre) const;
  /**
   * Returns the mean time that calls there take beyond what was expected, as far as it is longer
   * than at near upstreams: loads there are old, and others send there too.
   */
  double LatenessMs(const std::string& service, const std::string& data_centre) const;
  /** Takes one request's turn to use a free slot there; returns false if it must stay. */
  bool TakeTurn(const std::string& service, const std::string& data_centre,
                const crossing_room& room, time_point now);

  /** Records that a connection to an upstream there, or a near one, was made in that time. */
  void OnConnected(const std::string& data_centre, duration taken);
  /** Records that the call's first byte or answer came after `taken`. */
  void OnAnswer(const std::string& service, const std::string& data_centre, duration expected,
                duration taken, time_point now);
  /** Records that the call failed or was refused. */
  void OnFailure(const std::string& service, const std::string& data_centre, time_point now);

  /** Returns how far this daemon's own calls bear out the loads there, from 0 to 1. */
  double Trust(const std::string& service, const std::string& data_centre, time_point now) const;
  /** Returns how long a call there usually takes. */
  duration UsualTime(const std::string& service, const std::string& data_centre) const;
  /** Returns the slots there that this daemon may use at a time. */
  double SlotsFor(const std::string& service, const std::string& data_centre,
                  const crossing_room& room, time_point now) const;

 private:
  using link_key = std::pair<std::string, std::string>;
  /** Returns the number of daemons that see free slots there from outside. */
  std::size_t SendersTo(const std::string& data_centre) const;
  const link_results* ResultsOf(const std::string& service, const std::string& data_centre) const;

  crossing_terms terms_;
  std::string own_data_centre_;
  random_source& random_;
  std::map<std::string, std::size_t> daemons_;
  /** Moving averages of the time to connect, in milliseconds, by data centre. */
  std::map<std::string, double> connect_ms_;
  /** By service and data centre, the own one included. */
  std::map<link_key, link_results> results_;
  std::map<link_key, crossing_share> shares_;
};

}  // namespace hawthorndrum
