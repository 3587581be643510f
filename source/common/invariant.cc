#include "common/invariant.h"

#include <cstdlib>
#include <string>

#include "common/log.h"
#include "common/metrics.h"

namespace wisteriadale::common {
namespace {

invariant_mode current_mode = invariant_mode::kCount;
uint64_t broken = 0;

}  // namespace

void SetInvariantMode(invariant_mode mode) { current_mode = mode; }

void CheckInvariant(bool holds, std::string_view name,
                    std::string_view detail) {
  if (holds) return;
  ++broken;
  Metrics().Count("wisteria_invariant_broken_total", {{"invariant", name}});
  Log(log_channel::kCore, log_level::kError,
      "invariant " + std::string(name) + " broken: " + std::string(detail));
  if (current_mode == invariant_mode::kFatal) std::abort();
}

uint64_t BrokenInvariants() { return broken; }

}  // namespace wisteriadale::common
