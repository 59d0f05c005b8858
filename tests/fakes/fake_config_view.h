/// A configuration that a test sets.
#pragma once

#include <map>
#include <string>

#include "tables/config_view.h"

namespace hawthorndrum {

class fake_config_view : public config_view {
 public:
  std::shared_ptr<const service_config> Find(std::string_view service) const override {
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : found->second;
  }
  generation current() const override { return generation(1); }

  void Put(service_config service) {
    const std::string name = service.name;
    services_[name] = std::make_shared<const service_config>(std::move(service));
  }

 private:
  std::map<std::string, std::shared_ptr<const service_config>, std::less<>> services_;
};

}  // namespace hawthorndrum
