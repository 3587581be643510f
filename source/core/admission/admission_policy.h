#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "common/clock.h"
#include "common/result_code.h"
#include "core/configuration/configuration.h"

namespace wisteriadale::core {

/// A request that a caller has sent.
struct admission_context {
  std::string_view organisation;
  uint32_t weight = 1;
  common::duration deadline{0};
  const pipeline_plan* plan = nullptr;
};

/// Why a request is not begun.
struct admission_refusal {
  common::result_code code = common::result_code::kOverloaded;
  std::string reason;
  common::duration retry_after{0};
};

/// Decides at a router whether a request is begun.
class admission_policy {
 public:
  virtual ~admission_policy() = default;
  /// @return why the request is refused, or nothing
  virtual std::optional<admission_refusal> Refusal(
      const admission_context& question) = 0;
};

/// Baseline: begins everything.
class open_admission final : public admission_policy {
 public:
  std::optional<admission_refusal> Refusal(const admission_context&) override {
    return std::nullopt;
  }
};

}  // namespace wisteriadale::core
