/// One holder's part of a byte budget.
#pragma once

#include <cstddef>
#include <memory>

namespace hawthorndrum {

class byte_budget;

/**
 * Counts a buffer's bytes for as long as it lives, and moves along with it. A copy counts nothing.
 *
 * Invariant: bytes_ are counted in *budget_, and are 0 without a budget.
 */
class byte_claim {
 public:
  /** Without a budget nothing is counted and everything fits. */
  explicit byte_claim(std::shared_ptr<byte_budget> budget = nullptr);
  ~byte_claim() { Set(0); }
  byte_claim(byte_claim&& other) noexcept;
  byte_claim& operator=(byte_claim&& other) noexcept;
  byte_claim(const byte_claim&) {}
  byte_claim& operator=(const byte_claim& other);

  /** Counts that many bytes of a request that is being read, unless they may not be read. */
  bool TryGrow(std::size_t bytes);
  /** Counts that many bytes, whether they fit or not. */
  void Set(std::size_t bytes);
  std::size_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<byte_budget> budget_;
  std::size_t bytes_ = 0;
};

}  // namespace hawthorndrum
