#pragma once

#include <optional>
#include <string_view>

#include "core/fleet/target_directory.h"
#include "core/routes/route_table.h"

namespace wisteriadale::platform {

/// Reads the operator's document.
/// @return the routes, or nothing with LastReason naming the first fault
std::optional<core::route_document> DecodeRoutes(std::string_view text);

/// Reads a target's own entry. Others may write there too: each field is
/// checked.
/// @param id key of the entry
/// @return the target, or nothing with LastReason naming the first fault
std::optional<core::target_entry> DecodeTarget(std::string_view id,
                                               std::string_view text);

}  // namespace wisteriadale::platform
