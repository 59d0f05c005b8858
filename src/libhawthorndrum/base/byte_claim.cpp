/// Keeps a budget's sum while buffers grow, move and end.
#include "base/byte_claim.h"

#include <utility>

#include "base/byte_budget.h"

namespace hawthorndrum {

byte_claim::byte_claim(std::shared_ptr<byte_budget> budget) : budget_(std::move(budget)) {}

byte_claim::byte_claim(byte_claim&& other) noexcept
    : budget_(std::move(other.budget_)), bytes_(std::exchange(other.bytes_, 0)) {}

byte_claim& byte_claim::operator=(byte_claim&& other) noexcept {
  if (this == &other) return *this;
  Set(0);
  budget_ = std::move(other.budget_);
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

byte_claim& byte_claim::operator=(const byte_claim& other) {
  if (this != &other) Set(0);
  return *this;
}

bool byte_claim::TryGrow(std::size_t bytes) {
  if (bytes <= bytes_) return true;
  if (budget_ && !budget_->MayRead(bytes_, bytes)) return false;
  Set(bytes);
  return true;
}

void byte_claim::Set(std::size_t bytes) {
  if (!budget_) return;
  budget_->Remove(bytes_);
  budget_->Add(bytes);
  bytes_ = bytes;
}

}  // namespace hawthorndrum
