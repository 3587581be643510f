#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "common/clock.h"

namespace wisteriadale::core {

struct gateway_retry_budget_options {
  common::duration window = std::chrono::seconds(10);
  double ratio = 0.2;   ///< retries per request, over all gateways
  double reserve = 50;  ///< further retries per window, over all gateways
  /// Share of the budget that is used, since the gateways see different loads.
  double used_share = 0.7;
};

/// Limits the retries on each service to a share of its requests, so that
/// retries do not amplify an overload or an outage. Each gateway may use the
/// share of its own requests and an equal part of the reserve.
class gateway_retry_budget {
 public:
  gateway_retry_budget(const gateway_retry_budget_options& options,
                       common::clock& clock)
      : options_(options), clock_(clock) {}

  /// @param count gateways that share the budget, this one included
  void SetGateways(size_t count) { gateways_ = count == 0 ? 1 : count; }
  /// Counts a new request for a service.
  void OnRequest(std::string_view service);
  /// @return whether a retry may be sent; if so, it is counted
  bool TryAcquire(std::string_view service);

 private:
  static constexpr size_t kSlices = 10;
  struct slice {
    int64_t number = 0;  ///< slices since the epoch of the clock
    uint32_t requests = 0;
    uint32_t retries = 0;
  };
  using window = std::array<slice, kSlices>;

  slice& CurrentSlice(std::string_view service);
  window& WindowOf(std::string_view service);
  int64_t SliceNumber() const;

  gateway_retry_budget_options options_;
  common::clock& clock_;
  size_t gateways_ = 1;
  std::map<std::string, window, std::less<>> services_;
};

}  // namespace wisteriadale::core
