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
  double ratio = 0.2;   ///< repeats for each request, over all gateways
  double reserve = 50;  ///< repeats in a window besides, over all gateways
  /// Part of the budget that is used: the views of the gateways differ.
  double used_share = 0.7;
};

/// Keeps the repeats at each service within a share of its requests. Each
/// gateway takes its own requests' share and an equal part of the rest. Load it
/// answers: retries that add to an overload or to a failure.
class gateway_retry_budget {
 public:
  gateway_retry_budget(const gateway_retry_budget_options& options,
                       common::clock& clock)
      : options_(options), clock_(clock) {}

  /// @param count gateways that share the budget, this one included
  void SetGateways(size_t count) { gateways_ = count == 0 ? 1 : count; }
  /// A request for a service arrived.
  void OnRequest(std::string_view service);
  /// @return whether a repeat may be sent; it then counts as sent
  bool TryAcquire(std::string_view service);

 private:
  static constexpr size_t kSlices = 10;
  struct slice {
    int64_t number = 0;  ///< slices since the clock's start
    uint32_t requests = 0;
    uint32_t repeats = 0;
  };
  using window = std::array<slice, kSlices>;

  slice& Current(std::string_view service);
  window& WindowOf(std::string_view service);
  int64_t SliceNumber() const;

  gateway_retry_budget_options options_;
  common::clock& clock_;
  size_t gateways_ = 1;
  std::map<std::string, window, std::less<>> services_;
};

}  // namespace wisteriadale::core
