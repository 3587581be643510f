#pragma once

#include <unordered_map>

#include "common/random.h"
#include "core/admission/stage_latencies.h"
#include "core/retry/retry_policy.h"

namespace wisteriadale::core {

/// Tokens by organisation and stage, and by organisation over all stages. Each
/// success adds a share of a token, each repeated attempt takes one of both, so
/// that retries stay a share of successes and of requests, and dry up while
/// nothing succeeds. It outlives a change of the preset.
class retry_budget {
 public:
  /// @param share of a token that a success earns
  /// @param part  of its request that the stage is
  void AddCredit(std::string_view organisation, std::string_view stage,
                 double share, double part);
  /// @return whether there was a token to take
  bool TryAcquire(std::string_view organisation, std::string_view stage);

 private:
  float& Tokens(uint64_t key);

  std::unordered_map<uint64_t, float> tokens_;
};

struct budget_retry_options {
  uint32_t max_attempts = 3;
  uint32_t max_request_retries = 4;
  double retry_ratio = 0.1;
  bool hedging = false;
  double hedge_quantile = 0.95;
};

/// Repeats within a budget, after a delay with jitter where targets refuse for
/// load, and never when the deadline leaves too little time. Refusals of
/// targets that are leaving cost nothing; deferrable work waits for as long as
/// it takes.
class budget_retry final : public retry_policy {
 public:
  budget_retry(const budget_retry_options& options, retry_budget& budget,
               const stage_latencies& latencies, common::random_source& random)
      : options_(options),
        budget_(budget),
        latencies_(latencies),
        random_(random) {}

  std::optional<common::duration> RetryDelay(
      const retry_context& question) override;
  common::duration NoTargetDelay(uint32_t waits) override;
  std::optional<common::duration> HedgeDelay(std::string_view stage) override;
  bool TryAcquireHedge(const retry_context& question) override;
  void OnSuccess(std::string_view organisation, std::string_view stage,
                 double part) override;

 private:
  bool CapsAllow(const retry_context& question) const;
  bool TimeAllows(const retry_context& question, common::duration delay) const;
  common::duration Backoff(common::duration first, common::duration longest,
                           uint32_t steps);

  budget_retry_options options_;
  retry_budget& budget_;
  const stage_latencies& latencies_;
  common::random_source& random_;
};

}  // namespace wisteriadale::core
