/// The interface through which a part of the core serves the admin API.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string_view>

#include "base/error.h"

namespace hawthorndrum {

/**
 * One section of the admin API, served at `/admin/<name>`.
 */
class admin_section {
 public:
  virtual ~admin_section() = default;
  /** Returns the section's name in the path, for example "orders". */
  virtual std::string_view name() const = 0;
  /** Handles `GET /admin/<name>/<item>`; `item` is empty for the whole section. */
  virtual expected<nlohmann::json> Report(std::string_view item) const = 0;
  /** Handles `POST /admin/<name>/<verb>`; `arguments` is the JSON body. */
  virtual expected<nlohmann::json> Act(std::string_view verb, const nlohmann::json& arguments) = 0;
};

}  // namespace hawthorndrum
