#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "common/clock.h"
#include "common/result_code.h"
#include "core/configuration/configuration.h"

namespace wisteriadale::core {

/// An incoming request, as input for the admission decision.
struct admission_context {
  std::string_view organisation;
  uint32_t weight = 1;           ///< of the organisation
  common::duration deadline{0};  ///< time until the deadline
  const pipeline_plan* plan = nullptr;
};

/// Why a request was refused.
struct admission_refusal {
  common::result_code code = common::result_code::kOverloaded;
  std::string reason;
  common::duration retry_after{0};  ///< delay that the caller is asked to keep
};

/// Decides in a router whether an incoming request is admitted.
class admission_policy {
 public:
  virtual ~admission_policy() = default;
  /// @return the reason to refuse the request, or nothing if it is admitted
  virtual std::optional<admission_refusal> Refusal(
      const admission_context& context) = 0;
};

/// Baseline: admits every request.
class open_admission final : public admission_policy {
 public:
  std::optional<admission_refusal> Refusal(const admission_context&) override {
    return std::nullopt;
  }
};

}  // namespace wisteriadale::core
