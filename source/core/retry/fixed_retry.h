#pragma once

#include "core/retry/retry_policy.h"

namespace wisteriadale::core {

/// Baseline: retries immediately, up to a maximum number of attempts, without a
/// budget and without hedges. A maximum of one attempt disables retries.
class fixed_retry final : public retry_policy {
 public:
  explicit fixed_retry(uint32_t max_attempts) : max_attempts_(max_attempts) {}

  std::optional<common::duration> RetryDelay(
      const retry_context& context) override;
  common::duration NoTargetDelay(uint32_t waits) override;
  std::optional<common::duration> HedgeDelay(std::string_view) override {
    return std::nullopt;
  }
  bool TryAcquireHedge(const retry_context&) override { return false; }
  void OnSuccess(std::string_view, std::string_view, double) override {}

 private:
  uint32_t max_attempts_;
};

}  // namespace wisteriadale::core
