/// Limits the retries of each service.
#pragma once

#include <string>
#include <unordered_map>

#include "systems/token_bucket.h"

namespace hawthorndrum {

/**
 * Each first attempt earns a tenth of a retry, so that retries add at most a tenth to the load,
 * apart from a small reserve that lets a service with few requests retry at all.
 */
class retry_budget {
 public:
  static constexpr double kRetriesPerRequest = 0.1;
  static constexpr double kReserve = 5;

  void Earn(const std::string& service) { BucketOf(service).Add(kRetriesPerRequest); }
  bool Spend(const std::string& service, time_point now) { return BucketOf(service).Take(now); }

 private:
  token_bucket& BucketOf(const std::string& service) {
    return buckets_.try_emplace(service, 0, kReserve).first->second;
  }

  std::unordered_map<std::string, token_bucket> buckets_;
};

}  // namespace hawthorndrum
