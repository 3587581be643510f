#pragma once

#include <map>
#include <string>

#include "core/admission/admission_policy.h"
#include "core/admission/deadline_policy.h"
#include "core/admission/distributed_quota.h"

namespace wisteriadale::core {

/// Refuses requests early: those that are not expected to finish before their
/// deadline and those that exceed the quota of their organisation. Deferrable
/// requests are exempt from both checks. Of the requests that would miss their
/// deadline, a few are admitted as probes, to detect stages that have
/// recovered.
class early_admission final : public admission_policy {
 public:
  /// @param rate quota per unit of weight, in requests per second; 0 disables
  ///             quotas
  early_admission(common::clock& clock, const deadline_policy& deadlines,
                  distributed_quota& quotas, double rate)
      : clock_(clock), deadlines_(deadlines), quotas_(quotas), rate_(rate) {}

  std::optional<admission_refusal> Refusal(
      const admission_context& context) override;

 private:
  bool TryAcquireProbe(const std::string& pipeline);

  common::clock& clock_;
  const deadline_policy& deadlines_;
  distributed_quota& quotas_;
  double rate_;
  /// Time from which the next probe is allowed, by pipeline.
  std::map<std::string, common::time_point, std::less<>> next_probe_;
};

}  // namespace wisteriadale::core
