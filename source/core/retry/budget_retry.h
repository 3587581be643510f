#pragma once

#include <unordered_map>

#include "common/random.h"
#include "core/admission/stage_latencies.h"
#include "core/retry/retry_policy.h"

namespace wisteriadale::core {

/// Token buckets that limit retries to a ratio of the successes. Each retry
/// takes a token from two buckets: that of the organisation and stage, and that
/// of the organisation over all stages. Each success adds a fraction of a token
/// to both. So retries stay proportional to successful stages and to requests,
/// and stop while nothing succeeds. The buckets are kept when the preset
/// changes.
class retry_budget {
 public:
  /// Adds the credit of a successful stage.
  /// @param ratio       tokens per success
  /// @param stage_share 1 / number of stages of the request
  void AddCredit(std::string_view organisation, std::string_view stage,
                 double ratio, double stage_share);
  /// Takes a token from both buckets.
  /// @return false if one of them is empty; then nothing is taken
  bool TryAcquire(std::string_view organisation, std::string_view stage);

 private:
  float& Tokens(uint64_t key);

  std::unordered_map<uint64_t, float> tokens_;  ///< by hash of the bucket's key
};

struct budget_retry_options {
  uint32_t max_attempts = 3;         ///< of each stage
  uint32_t max_request_retries = 4;  ///< over all stages of a request
  double retry_ratio = 0.1;          ///< retries per success
  bool hedging = false;
  double hedge_quantile = 0.95;  ///< latency quantile after which to hedge
};

/// Retries within a budget, with back-off and jitter if a target is overloaded,
/// and only if enough time remains until the deadline. A retry after a draining
/// target refused the attempt costs no token. Deferrable attempts that were
/// refused for overload are retried without limit.
class budget_retry final : public retry_policy {
 public:
  budget_retry(const budget_retry_options& options, retry_budget& budget,
               const stage_latencies& latencies, common::random_source& random)
      : options_(options),
        budget_(budget),
        latencies_(latencies),
        random_(random) {}

  std::optional<common::duration> RetryDelay(
      const retry_context& context) override;
  common::duration NoTargetDelay(uint32_t waits) override;
  std::optional<common::duration> HedgeDelay(std::string_view stage) override;
  bool TryAcquireHedge(const retry_context& context) override;
  void OnSuccess(std::string_view organisation, std::string_view stage,
                 double stage_share) override;

 private:
  bool WithinLimits(const retry_context& context) const;
  bool EnoughTime(const retry_context& context, common::duration delay) const;
  /// @return delay after a number of doublings, with jitter
  common::duration Backoff(common::duration initial, common::duration maximum,
                           uint32_t doublings);

  budget_retry_options options_;
  retry_budget& budget_;
  const stage_latencies& latencies_;
  common::random_source& random_;
};

}  // namespace wisteriadale::core
