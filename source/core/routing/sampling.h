#pragma once

#include <span>

#include "common/random.h"
#include "core/routing/routing_policy.h"

namespace wisteriadale::core {

/// Picks a random target that the request allows: a few random tries first,
/// then the next allowed one after a random place.
/// @return null when there is none
target_view* SampleAllowed(std::span<target_view* const> members,
                           const routing_request& request,
                           common::random_source& random);

}  // namespace wisteriadale::core
