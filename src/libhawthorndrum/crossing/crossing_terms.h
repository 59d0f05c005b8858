/// What the operators say about traffic between data centres.
#pragma once

namespace hawthorndrum {

struct crossing_terms {
  /** The time of a caller's waiting that a megabyte between data centres is worth. */
  double ms_per_megabyte = 250;
  /** The same for a gigabyte of KV cache, which moves over the engines' own links. */
  double ms_per_kv_gigabyte = 20;
};

}  // namespace hawthorndrum
