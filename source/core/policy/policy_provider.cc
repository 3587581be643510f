#include "core/policy/policy_provider.h"

#include "common/invariant.h"
#include "common/last_error.h"
#include "core/admission/early_admission.h"
#include "core/admission/stage_budget.h"
#include "core/retry/fixed_retry.h"
#include "core/routing/baselines.h"
#include "core/routing/two_choices.h"

namespace wisteriadale::core {
namespace {

constexpr common::duration kMaxHintAge = std::chrono::seconds(60);
constexpr size_t kMaxHints = 65536;

two_choices_options RoutingOptions(const preset_policy& preset,
                                   const policy_state& state) {
  two_choices_options options;
  options.data_centre = state.self.data_centre;
  options.spill_at = preset.spill_at;
  options.remote_penalty = preset.remote_penalty;
  options.prefix_affinity = preset.prefix_affinity;
  options.affinity_bound = preset.affinity_bound;
  options.slow_start = preset.slow_start;
  return options;
}

outlier_options OutlierOptions(const preset_policy& preset) {
  outlier_options options;
  options.max_ejected_share = preset.ejection_share;
  return options;
}

}  // namespace

std::optional<std::unique_ptr<routing_policy>> MakeRoutingPolicy(
    const preset_policy& preset, policy_state& state, target_subset& subset) {
  if (preset.routing == "two_choices") {
    return std::make_unique<two_choices>(state.clock, state.random, subset,
                                         state.hints,
                                         RoutingOptions(preset, state));
  }
  if (preset.routing == "round_robin") return std::make_unique<round_robin>();
  if (preset.routing == "random") {
    return std::make_unique<random_choice>(state.random);
  }
  if (preset.routing == "least_outstanding") {
    return std::make_unique<least_outstanding>(state.random);
  }
  common::SetLastError(common::result_code::kBadConfiguration,
                       "unknown routing policy " + preset.routing);
  return std::nullopt;
}

std::optional<std::unique_ptr<retry_policy>> MakeRetryPolicy(
    const preset_policy& preset, policy_state& state) {
  constexpr uint32_t kImmediateAttempts = 4;
  if (preset.retry == "none") return std::make_unique<fixed_retry>(1);
  if (preset.retry == "immediate") {
    return std::make_unique<fixed_retry>(kImmediateAttempts);
  }
  if (preset.retry == "budget") {
    budget_retry_options options;
    options.max_attempts = preset.max_attempts;
    options.max_request_retries = preset.max_request_retries;
    options.retry_ratio = preset.retry_ratio;
    options.hedging = preset.hedging;
    options.hedge_quantile = preset.hedge_quantile;
    return std::make_unique<budget_retry>(options, state.retries,
                                          state.latencies, state.random);
  }
  common::SetLastError(common::result_code::kBadConfiguration,
                       "unknown retry policy " + preset.retry);
  return std::nullopt;
}

std::optional<std::unique_ptr<deadline_policy>> MakeDeadlinePolicy(
    const preset_policy& preset, const policy_state& state) {
  if (preset.deadlines == "whole") return std::make_unique<whole_deadline>();
  if (preset.deadlines == "quantiles") {
    stage_budget_options options;
    options.finish_quantile = preset.finish_quantile;
    options.timeout_quantile = preset.timeout_quantile;
    options.timeout_factor = preset.timeout_factor;
    return std::make_unique<stage_budget>(options, state.latencies);
  }
  common::SetLastError(common::result_code::kBadConfiguration,
                       "unknown deadline policy " + preset.deadlines);
  return std::nullopt;
}

std::optional<std::unique_ptr<admission_policy>> MakeAdmissionPolicy(
    const preset_policy& preset, policy_state& state,
    const deadline_policy& deadlines) {
  if (preset.admission == "open") return std::make_unique<open_admission>();
  if (preset.admission == "early") {
    return std::make_unique<early_admission>(
        state.clock, deadlines, state.quotas, preset.organisation_rate);
  }
  common::SetLastError(common::result_code::kBadConfiguration,
                       "unknown admission policy " + preset.admission);
  return std::nullopt;
}

policy_state::policy_state(common::clock& time, common::random_source& source,
                           const router_entry& router)
    : clock(time),
      random(source),
      self(router),
      hints(time, kMaxHintAge, kMaxHints),
      quotas(time, router.name) {}

policy_set::policy_set(const preset_policy& preset, policy_state& state)
    : preset_(preset),
      state_(state),
      subset_(state.self, preset.subset_size),
      outliers_(state.clock, OutlierOptions(preset)) {
  subset_.SetRouters(state.routers);
}

std::optional<std::shared_ptr<policy_set>> policy_set::Create(
    const preset_policy& preset, policy_state& state) {
  const std::shared_ptr<policy_set> set(new policy_set(preset, state));
  std::optional<std::unique_ptr<routing_policy>> routing =
      MakeRoutingPolicy(preset, state, set->subset_);
  if (!routing) return std::nullopt;
  std::optional<std::unique_ptr<retry_policy>> retry =
      MakeRetryPolicy(preset, state);
  if (!retry) return std::nullopt;
  std::optional<std::unique_ptr<deadline_policy>> deadlines =
      MakeDeadlinePolicy(preset, state);
  if (!deadlines) return std::nullopt;
  std::optional<std::unique_ptr<admission_policy>> admission =
      MakeAdmissionPolicy(preset, state, **deadlines);
  if (!admission) return std::nullopt;
  set->routing = std::move(*routing);
  set->retry = std::move(*retry);
  set->deadlines = std::move(*deadlines);
  set->admission = std::move(*admission);
  return set;
}

void policy_set::OnAttempt(target_table& targets, std::string_view pool,
                           std::string_view target, std::string_view stage,
                           common::result_code code, common::duration took) {
  // An attempt that was cut off, such as by its timeout, took at least that
  // long. Without these, a stage that slows down beyond its timeout would never
  // show in the latencies.
  if (code == common::result_code::kOk ||
      code == common::result_code::kTargetLost) {
    state_.latencies.Add(stage, took);
  }
  const target_pool* members = targets.Pool(pool);
  target_view* view = targets.Find(target);
  if (members == nullptr || view == nullptr) return;
  if (preset_.ejection_share <= 0) return;
  outliers_.OnOutcome(*members, view, code, took);
}

std::shared_ptr<policy_set> policy_provider::GetOrCreate(
    const preset_policy& preset) {
  if (current_ && current_->preset() == preset) return current_;
  std::optional<std::shared_ptr<policy_set>> created =
      policy_set::Create(preset, state_);
  // The validation of the configuration rejects names that no factory knows.
  common::CheckInvariant(created.has_value(), "preset_names_known_policies",
                         common::LastError().text);
  if (created) current_ = std::move(*created);
  return current_;
}

void policy_provider::SetRouters(std::vector<router_entry> routers) {
  if (routers == state_.routers) return;
  state_.routers = std::move(routers);
  state_.quotas.SetRouters(state_.routers.size());
  if (current_) current_->SetRouters(state_.routers);
}

}  // namespace wisteriadale::core
