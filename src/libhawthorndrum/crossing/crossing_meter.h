/// Counts the requests that leave the data centre, and the bytes that they move.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "crossing/crossing_reason.h"

namespace hawthorndrum {

class metrics_registry;

class crossing_meter {
 public:
  explicit crossing_meter(metrics_registry& metrics) : metrics_(metrics) {}

  void OnLeft(const std::string& service, crossing_reason reason);
  /** Records the bytes of a call to another data centre, answer included. */
  void OnBytes(const std::string& service, std::uint64_t bytes);

  /** Records the size of a complete answer of the route. */
  void OnAnswer(const std::string& route, std::uint64_t bytes);
  /** Returns the usual size of the route's answers; zero until one was seen. */
  double AnswerBytes(const std::string& route) const;

 private:
  metrics_registry& metrics_;
  std::unordered_map<std::string, double> answer_bytes_;
};

}  // namespace hawthorndrum
