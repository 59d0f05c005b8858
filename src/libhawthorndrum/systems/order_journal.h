/// The stored journal of one data centre's orders.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "ports/engine_order.h"
#include "ports/load_report.h"

namespace hawthorndrum {

/**
 * A process that may have sent a copy of an engine's order. `consumed` is set when the engine
 * reported the order before any other process sent it: the issuer's copy has arrived and can't
 * arrive later.
 */
struct order_issuer {
  incarnation_id incarnation;
  peer_id peer;
  bool consumed = false;
};

/**
 * The journalled state of one engine's orders.
 *
 * Invariants: `order` is unresolved while `open`. `issuers` holds every process that may have sent
 * a copy or may still send one. `uncertain` means that a copy may be in flight to the engine's run
 * `uncertain_run`.
 */
struct journal_row {
  upstream_id engine;
  std::string address;
  bool open = false;
  engine_order order;
  std::vector<order_issuer> issuers;
  bool uncertain = false;
  std::uint64_t uncertain_run = 0;
  /** How the last order ended. */
  order_progress ended = order_progress::kNone;
};

/**
 * The journal. `term` is that of the holder that sealed it; no process of a lower term can write
 * it.
 */
struct order_journal {
  lease_term term;
  incarnation_id issuer;
  std::uint64_t nonce = 0;
  /** The number of the next order within the term. */
  std::uint64_t next_number = 1;
  std::map<upstream_id, journal_row> rows;
};

std::string EncodeJournal(const order_journal& journal);
expected<order_journal> DecodeJournal(std::string_view text);

/** The largest number of an order within a term. */
constexpr std::uint64_t kLargestOrderNumber = (std::uint64_t{1} << 20) - 1;

/** An order's fencing number: increases with each term, and with each order within a term. */
constexpr lease_term FencingNumber(lease_term term, std::uint64_t number) {
  return lease_term(term.value() << 20 | number);
}

/** The lease term that a fencing number belongs to. */
constexpr lease_term TermOfFencingNumber(lease_term fencing) {
  return lease_term(fencing.value() >> 20);
}

}  // namespace hawthorndrum
