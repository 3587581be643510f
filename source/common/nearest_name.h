#pragma once

#include <span>
#include <string_view>

namespace wisteriadale::common {

/// Finds the known name that a mistyped one most likely stands for.
/// @return the known name with the least edit distance; empty when none is
/// known
std::string_view NearestName(std::string_view name,
                             std::span<const std::string_view> known);

}  // namespace wisteriadale::common
