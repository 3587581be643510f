#pragma once

#include <map>
#include <string>

#include "core/admission/admission_policy.h"
#include "core/admission/deadline_policy.h"
#include "core/admission/distributed_quota.h"

namespace wisteriadale::core {

/// Refuses at once what the pipeline's stages are not likely to end in time,
/// and what exceeds its organisation's quota. Deferrable requests are refused
/// for neither. A trickle of the refused is begun all the same, so that stages
/// which have recovered are noticed.
class early_admission final : public admission_policy {
 public:
  /// @param rate quota for each unit of weight, in requests a second; 0: none
  early_admission(common::clock& clock, const deadline_policy& deadlines,
                  distributed_quota& quotas, double rate)
      : clock_(clock), deadlines_(deadlines), quotas_(quotas), rate_(rate) {}

  std::optional<admission_refusal> Refusal(
      const admission_context& question) override;

 private:
  bool TakeProbe(const std::string& pipeline);

  common::clock& clock_;
  const deadline_policy& deadlines_;
  distributed_quota& quotas_;
  double rate_;
  std::map<std::string, common::time_point, std::less<>> next_probe_;
};

}  // namespace wisteriadale::core
