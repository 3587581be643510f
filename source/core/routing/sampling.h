#pragma once

#include <span>

#include "common/random.h"
#include "core/routing/routing_policy.h"

namespace wisteriadale::core {

/// Picks a random target that the request allows: a few random samples first,
/// then a scan from a random start.
/// @return the target, or null if none is allowed
target_view* SampleAllowed(std::span<target_view* const> members,
                           const routing_request& request,
                           common::random_source& random);

}  // namespace wisteriadale::core
