#pragma once

#include <span>
#include <string_view>

namespace wisteriadale::core {

/// What a response says about the request limit of its target.
enum class limit_statement {
  kNone,     ///< it names no limit
  kInvalid,  ///< it names one that cannot be used
  kNamed,
};

/// Request limit that a target names in a response: what it takes from all
/// gateways together.
struct request_limit {
  limit_statement statement = limit_statement::kNone;
  double per_second = 0;  ///< only if named
};

/// Parses the values of the header that names a limit: decimal numbers that are
/// not negative. Of several, the lowest applies; if any is not a number, the
/// statement is invalid.
/// @param values one for each header of that name
request_limit ParseRequestLimit(std::span<const std::string_view> values);

}  // namespace wisteriadale::core
