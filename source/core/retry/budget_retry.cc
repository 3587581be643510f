#include "core/retry/budget_retry.h"

#include <algorithm>

#include "common/digest.h"

namespace wisteriadale::core {
namespace {

using common::result_code;
using std::chrono::milliseconds;

constexpr float kFirstTokens = 2;  ///< before the first success
constexpr float kMostTokens = 10;
constexpr std::string_view kAllStages;  ///< names no stage
constexpr common::duration kFirstWait = milliseconds(10);
constexpr common::duration kLongestWait = milliseconds(200);
constexpr common::duration kFirstDeferral = milliseconds(50);
constexpr common::duration kLongestDeferral = milliseconds(1000);
/// An attempt is not worth starting with less time than this.
constexpr common::duration kLeastTime = milliseconds(5);

uint64_t KeyOf(std::string_view organisation, std::string_view stage) {
  return common::Hash64(organisation, common::Hash64(stage));
}

}  // namespace

void retry_budget::AddCredit(std::string_view organisation,
                             std::string_view stage, double share,
                             double part) {
  float& of_stage = Tokens(KeyOf(organisation, stage));
  of_stage = std::min(of_stage + static_cast<float>(share), kMostTokens);
  float& of_all = Tokens(KeyOf(organisation, kAllStages));
  of_all = std::min(of_all + static_cast<float>(share * part), kMostTokens);
}

bool retry_budget::TryAcquire(std::string_view organisation,
                              std::string_view stage) {
  // Both are created before either is referred to.
  const uint64_t stage_key = KeyOf(organisation, stage);
  const uint64_t all_key = KeyOf(organisation, kAllStages);
  if (Tokens(stage_key) < 1 || Tokens(all_key) < 1) return false;
  Tokens(stage_key) -= 1;
  Tokens(all_key) -= 1;
  return true;
}

float& retry_budget::Tokens(uint64_t key) {
  return tokens_.emplace(key, kFirstTokens).first->second;
}

std::optional<common::duration> budget_retry::RetryDelay(
    const retry_context& question) {
  const bool overloaded = question.code == result_code::kOverloaded;
  if (overloaded && question.deferrable) {
    // Deferrable work is never given up for load.
    const common::duration delay =
        Backoff(kFirstDeferral, kLongestDeferral, question.stage_attempts - 1);
    return std::min(delay, question.remaining / 2);
  }
  if (!CapsAllow(question)) return std::nullopt;
  common::duration delay = common::duration::zero();
  if (overloaded) {
    delay = Backoff(kFirstWait, kLongestWait, question.stage_attempts - 1);
  }
  if (!TimeAllows(question, delay)) return std::nullopt;
  if (question.code == result_code::kDraining) return delay;
  if (!budget_.TryAcquire(question.organisation, question.stage)) {
    return std::nullopt;
  }
  return delay;
}

bool budget_retry::CapsAllow(const retry_context& question) const {
  return question.stage_attempts < options_.max_attempts &&
         question.request_retries < options_.max_request_retries;
}

bool budget_retry::TimeAllows(const retry_context& question,
                              common::duration delay) const {
  const common::duration needed =
      std::max(kLeastTime, latencies_.Quantile(question.stage, 0.1));
  return delay + needed < question.remaining;
}

common::duration budget_retry::Backoff(common::duration first,
                                       common::duration longest,
                                       uint32_t steps) {
  const common::duration whole =
      std::min(first * (int64_t{1} << std::min(steps, 10U)), longest);
  // Half is fixed, half is jitter, so that refused callers spread out.
  const double jitter = random_.Uniform() * static_cast<double>(whole.count());
  return whole / 2 + common::duration(static_cast<int64_t>(jitter / 2));
}

common::duration budget_retry::NoTargetDelay(uint32_t waits) {
  return Backoff(kFirstWait, kLongestWait, waits);
}

std::optional<common::duration> budget_retry::HedgeDelay(
    std::string_view stage) {
  if (!options_.hedging) return std::nullopt;
  const common::duration delay =
      latencies_.Quantile(stage, options_.hedge_quantile);
  if (delay == common::duration::zero()) return std::nullopt;
  return delay;
}

bool budget_retry::TryAcquireHedge(const retry_context& question) {
  return CapsAllow(question) &&
         TimeAllows(question, common::duration::zero()) &&
         budget_.TryAcquire(question.organisation, question.stage);
}

void budget_retry::OnSuccess(std::string_view organisation,
                             std::string_view stage, double part) {
  budget_.AddCredit(organisation, stage, options_.retry_ratio, part);
}

}  // namespace wisteriadale::core
