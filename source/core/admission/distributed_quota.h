#pragma once

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/clock.h"

namespace wisteriadale::core {

/// Request rate of one organisation, as one router measured it.
struct organisation_demand {
  std::string organisation;
  double rate = 0;  ///< requests per second, refused ones included
};

/// Enforces the organisations' request quotas over all routers, without
/// coordination for each request. Each router grants a share of a quota from a
/// local token bucket. The share is the router's demand relative to the demand
/// of all routers, as they report it to each other; without reports all shares
/// are equal. The buckets are kept when the preset changes.
class distributed_quota {
 public:
  distributed_quota(common::clock& clock, std::string_view router)
      : clock_(clock), router_(router) {}

  /// @param routers number of routers that share the quotas, this one included
  void SetRouters(size_t routers);
  /// Counts a request and tries to take a token for it.
  /// @param quota quota of the organisation over all routers, in requests per
  ///              second
  /// @return zero if a token was taken, otherwise the time until one is
  /// available
  common::duration Acquire(std::string_view organisation, double quota);
  /// Stores the report of another router, replacing its previous one.
  void OnReport(std::string_view router,
                const std::vector<organisation_demand>& demand);
  /// @return the demand at this router, to send to the other routers
  std::vector<organisation_demand> Report();
  /// @return this router's share of an organisation's quota, in (0, 1]
  double Share(std::string_view organisation) const;

 private:
  /// Token bucket and demand of one organisation.
  struct bucket {
    double tokens = 0;
    common::time_point refilled;
    double rate = 0;  ///< smoothed demand, in requests per second
    common::time_point measured;
    uint64_t requests = 0;  ///< since `measured`
  };

  struct peer_report {
    common::time_point received;
    std::unordered_map<std::string, double> rates;  ///< by organisation
  };

  void UpdateRate(bucket* entry);

  common::clock& clock_;
  std::string router_;
  size_t routers_ = 1;
  std::unordered_map<std::string, bucket> buckets_;        ///< by organisation
  std::map<std::string, peer_report, std::less<>> peers_;  ///< by router
};

}  // namespace wisteriadale::core
