/// What load to send.
#pragma once

#include <string>
#include <vector>

#include "base/units.h"

namespace hawthorndrum {

/**
 * An open loop: requests are sent by the clock, whatever became of those before.
 */
struct load_options {
  /** Where to send: `ip:port`, in turn. */
  std::vector<std::string> targets;
  std::string path = "/v1/chat/completions";
  double requests_per_second = 10;
  duration time = seconds(5);
  std::string model = "oak-7b";
  int prompt_tokens = 100;
  int output_tokens = 16;
  /** How many different prompts there are; requests take them in turn. */
  int prompts = 100;
  /** Sends plain calls in place of completions. */
  bool plain = false;
  /** An answer that is whole within this time counts as useful. */
  duration useful_within = seconds(10);
};

}  // namespace hawthorndrum
