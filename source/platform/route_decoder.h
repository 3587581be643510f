#pragma once

#include <optional>
#include <string_view>

#include "core/fleet/target_directory.h"
#include "core/routes/route_table.h"

namespace wisteriadale::platform {

/// Parses the operator's document of routes, services and organisations.
/// @return the document, or nothing with LastError naming the first error
std::optional<core::route_document> DecodeRoutes(std::string_view text);

/// Parses the entry that a target publishes. Others may write entries too, so
/// each field is validated.
/// @param id key of the entry
/// @return the target, or nothing with LastError naming the first error
std::optional<core::target_entry> DecodeTarget(std::string_view id,
                                               std::string_view text);

}  // namespace wisteriadale::platform
