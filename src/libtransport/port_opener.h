/// Opens the ports of a daemon that starts, and waits for those that are still held.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "base/error.h"
#include "base/units.h"

namespace hawthorndrum {

/**
 * Binds all ports before others can connect to any of them: a daemon that lacks one of its
 * addresses can't serve, so connections to it are refused meanwhile. It has no clock or timer; its
 * owner calls Attempt until that no longer returns kWaiting.
 */
class port_opener {
 public:
  enum class state { kWaiting, kOpen, kFailed };

  /** `patience` is how long after the first attempt an address may be in use. */
  explicit port_opener(duration patience) : patience_(patience) {}

  /**
   * Adds a port; they are opened in this order. `listen` may be empty. When it fails it also undoes
   * what `bind` did.
   */
  void Add(std::function<expected<void>()> bind, std::function<expected<void>()> listen);
  /** Opens what can be opened. Errors other than an address in use fail at once. */
  state Attempt(time_point now);
  /** The reason why the last attempt did not open all. */
  const error& problem() const { return problem_; }

 private:
  struct port {
    std::function<expected<void>()> bind;
    std::function<expected<void>()> listen;
    bool bound = false;
    /** Only if bound. */
    bool listens = false;
  };

  /** Returns whether all ports are bound. */
  bool BindAll();
  /** Returns whether all ports listen. */
  bool ListenAll();

  duration patience_;
  std::vector<port> ports_;
  std::optional<time_point> began_;
  error problem_;
};

}  // namespace hawthorndrum
