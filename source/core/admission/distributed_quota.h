#pragma once

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/clock.h"

namespace wisteriadale::core {

/// What a router has seen of one organisation's requests.
struct organisation_demand {
  std::string organisation;
  double rate = 0;  ///< requests a second, refused ones included
};

/// Quotas of organisations, shared between routers without a write for each
/// request. Each router grants a part of an organisation's quota: its own
/// demand over that of all routers, as far as their reports are known. Without
/// reports the parts are equal. It outlives a change of the preset.
class distributed_quota {
 public:
  distributed_quota(common::clock& clock, std::string_view router)
      : clock_(clock), router_(router) {}

  /// @param routers how many share the quotas, this one included
  void SetRouters(size_t routers);
  /// Counts a request and takes a token for it.
  /// @param quota of the organisation over all routers, in requests a second
  /// @return zero when granted, else the time until there is a token
  common::duration Acquire(std::string_view organisation, double quota);
  /// Takes over what another router reported.
  void OnReport(std::string_view router,
                const std::vector<organisation_demand>& demand);
  /// @return this router's demand, for the others
  std::vector<organisation_demand> Report();
  /// @return this router's part of an organisation's quota, (0, 1]
  double Share(std::string_view organisation) const;

 private:
  struct account {
    double tokens = 0;
    common::time_point filled;
    double rate = 0;  ///< smoothed demand, requests a second
    common::time_point measured;
    uint64_t requests = 0;  ///< since it was measured
  };

  struct peer_report {
    common::time_point received;
    std::unordered_map<std::string, double> rates;
  };

  void Measure(account* entry);

  common::clock& clock_;
  std::string router_;
  size_t routers_ = 1;
  std::unordered_map<std::string, account> accounts_;
  std::map<std::string, peer_report, std::less<>> peers_;
};

}  // namespace wisteriadale::core
