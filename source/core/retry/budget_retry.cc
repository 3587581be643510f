#include "core/retry/budget_retry.h"

#include <algorithm>

#include "common/digest.h"

namespace wisteriadale::core {
namespace {

using common::result_code;
using std::chrono::milliseconds;

constexpr float kInitialTokens = 2;  ///< of a bucket, before the first success
constexpr float kMaxTokens = 10;     ///< capacity of a bucket
/// Stage key of the bucket for all stages; no stage has an empty key.
constexpr std::string_view kAllStages;
constexpr common::duration kInitialDelay = milliseconds(10);
constexpr common::duration kMaxDelay = milliseconds(200);
/// Delays of deferrable attempts that were refused for overload.
constexpr common::duration kInitialDeferral = milliseconds(50);
constexpr common::duration kMaxDeferral = milliseconds(1000);
/// With less remaining time, no attempt is started.
constexpr common::duration kMinAttemptTime = milliseconds(5);

uint64_t KeyOf(std::string_view organisation, std::string_view stage) {
  return common::Hash64(organisation, common::Hash64(stage));
}

}  // namespace

void retry_budget::AddCredit(std::string_view organisation,
                             std::string_view stage, double ratio,
                             double stage_share) {
  float& stage_tokens = Tokens(KeyOf(organisation, stage));
  stage_tokens = std::min(stage_tokens + static_cast<float>(ratio), kMaxTokens);
  float& total_tokens = Tokens(KeyOf(organisation, kAllStages));
  total_tokens = std::min(
      total_tokens + static_cast<float>(ratio * stage_share), kMaxTokens);
}

bool retry_budget::TryAcquire(std::string_view organisation,
                              std::string_view stage) {
  // The checks create both buckets before a token is taken from either.
  const uint64_t stage_key = KeyOf(organisation, stage);
  const uint64_t total_key = KeyOf(organisation, kAllStages);
  if (Tokens(stage_key) < 1 || Tokens(total_key) < 1) return false;
  Tokens(stage_key) -= 1;
  Tokens(total_key) -= 1;
  return true;
}

float& retry_budget::Tokens(uint64_t key) {
  return tokens_.emplace(key, kInitialTokens).first->second;
}

std::optional<common::duration> budget_retry::RetryDelay(
    const retry_context& context) {
  const bool overloaded = context.code == result_code::kOverloaded;
  if (overloaded && context.deferrable) {
    // Deferrable attempts are never given up because of overload.
    const common::duration delay =
        Backoff(kInitialDeferral, kMaxDeferral, context.stage_attempts - 1);
    return std::min(delay, context.remaining / 2);
  }
  if (!WithinLimits(context)) return std::nullopt;
  common::duration delay = common::duration::zero();
  if (overloaded) {
    delay = Backoff(kInitialDelay, kMaxDelay, context.stage_attempts - 1);
  }
  if (!EnoughTime(context, delay)) return std::nullopt;
  if (context.code == result_code::kDraining) return delay;
  if (!budget_.TryAcquire(context.organisation, context.stage)) {
    return std::nullopt;
  }
  return delay;
}

bool budget_retry::WithinLimits(const retry_context& context) const {
  return context.stage_attempts < options_.max_attempts &&
         context.request_retries < options_.max_request_retries;
}

bool budget_retry::EnoughTime(const retry_context& context,
                              common::duration delay) const {
  const common::duration needed =
      std::max(kMinAttemptTime, latencies_.Quantile(context.stage, 0.1));
  return delay + needed < context.remaining;
}

common::duration budget_retry::Backoff(common::duration initial,
                                       common::duration maximum,
                                       uint32_t doublings) {
  const common::duration full_delay =
      std::min(initial * (int64_t{1} << std::min(doublings, 10U)), maximum);
  // Half the delay is fixed and half is jitter, so that retries do not arrive
  // all at once.
  const double jitter =
      random_.Uniform() * static_cast<double>(full_delay.count());
  return full_delay / 2 + common::duration(static_cast<int64_t>(jitter / 2));
}

common::duration budget_retry::NoTargetDelay(uint32_t waits) {
  return Backoff(kInitialDelay, kMaxDelay, waits);
}

std::optional<common::duration> budget_retry::HedgeDelay(
    std::string_view stage) {
  if (!options_.hedging) return std::nullopt;
  const common::duration delay =
      latencies_.Quantile(stage, options_.hedge_quantile);
  if (delay == common::duration::zero()) return std::nullopt;
  return delay;
}

bool budget_retry::TryAcquireHedge(const retry_context& context) {
  return WithinLimits(context) &&
         EnoughTime(context, common::duration::zero()) &&
         budget_.TryAcquire(context.organisation, context.stage);
}

void budget_retry::OnSuccess(std::string_view organisation,
                             std::string_view stage, double stage_share) {
  budget_.AddCredit(organisation, stage, options_.retry_ratio, stage_share);
}

}  // namespace wisteriadale::core
