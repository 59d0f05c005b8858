/// The subset of a stored configuration that one publishing run needs.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "tables/config_entry.h"
#include "tables/config_head.h"

namespace hawthorndrum {

/**
 * A head with some of its pages and leaves, by index. A head with number 0 means that nothing has
 * been published in the store.
 */
struct config_slice {
  config_head head;
  std::map<std::size_t, config_page> pages;
  std::map<std::size_t, std::vector<config_entry>> leaves;
};

}  // namespace hawthorndrum
