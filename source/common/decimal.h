#pragma once

#include <optional>
#include <string_view>

namespace wisteriadale::common {

/// Parses a decimal number without a sign or an exponent, as headers hold it.
/// @param text may be surrounded by spaces and tabs
/// @return the number; nothing if the text is none, or too large
std::optional<double> ParseDecimal(std::string_view text);

}  // namespace wisteriadale::common
