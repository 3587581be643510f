#include "core/overload/connection_limits.h"

#include <algorithm>

namespace wisteriadale::core {
namespace {

// Part of the descriptors, as a divisor, that callers and operators leave.
constexpr size_t kOwnPart = 4;
constexpr size_t kOperatorsPart = 16;
// Half of the process's own part.
constexpr size_t kChannelsPart = 8;
constexpr size_t kMinOperators = 4;
constexpr size_t kMaxOperators = 64;

}  // namespace

connection_limits ShareDescriptors(size_t descriptors) {
  connection_limits limits;
  limits.operators =
      std::clamp(descriptors / kOperatorsPart, kMinOperators, kMaxOperators);
  limits.channels = descriptors / kChannelsPart;
  const size_t taken = descriptors / kOwnPart + limits.operators;
  limits.callers = descriptors > taken ? descriptors - taken : 1;
  return limits;
}

}  // namespace wisteriadale::core
