/// Configuration of the load tool.
#pragma once

#include <string>
#include <vector>

#include "base/units.h"

namespace hawthorndrum {

/**
 * Describes an open-loop load: requests are sent on schedule, regardless of earlier answers.
 */
struct load_options {
  /** Addresses (`ip:port`) to which requests go in round-robin order. */
  std::vector<std::string> targets;
  std::string path = "/v1/chat/completions";
  double requests_per_second = 10;
  duration time = seconds(5);
  std::string model = "oak-7b";
  int prompt_tokens = 100;
  int output_tokens = 16;
  /** Number of different prompts; requests use them in round-robin order. */
  int prompts = 100;
  /** Sends plain GET requests instead of completions. */
  bool plain = false;
  /** An answer that is complete within this time counts as useful. */
  duration useful_within = seconds(10);
};

}  // namespace hawthorndrum
