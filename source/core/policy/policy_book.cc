#include "core/policy/policy_book.h"

#include "common/last_reason.h"
#include "core/retry/fixed_retry.h"
#include "core/routing/two_choices.h"

namespace wisteriadale::core {

std::optional<std::unique_ptr<routing_policy>> MakeRoutingPolicy(
    const preset_policy& preset, const policy_environment& environment) {
  if (preset.routing == "two_choices") {
    return std::make_unique<two_choices>(
        environment.random, environment.data_centre, preset.remote_penalty);
  }
  common::SetLastReason(common::result_code::kBadConfiguration,
                        "unknown routing policy " + preset.routing);
  return std::nullopt;
}

std::optional<std::unique_ptr<retry_policy>> MakeRetryPolicy(
    const preset_policy& preset, const policy_environment&) {
  return std::make_unique<fixed_retry>(preset.max_attempts);
}

std::shared_ptr<policy_set> policy_book::For(const preset_policy& preset) {
  if (current_ && current_->preset == preset) return current_;
  std::optional<std::unique_ptr<routing_policy>> routing =
      MakeRoutingPolicy(preset, environment_);
  std::optional<std::unique_ptr<retry_policy>> retry =
      MakeRetryPolicy(preset, environment_);
  // ParseConfiguration refuses names that no factory knows.
  if (!routing || !retry) return current_;
  current_ = std::make_shared<policy_set>();
  current_->preset = preset;
  current_->routing = std::move(*routing);
  current_->retry = std::move(*retry);
  current_->deadlines = std::make_unique<whole_deadline>();
  return current_;
}

}  // namespace wisteriadale::core
