#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/routes/route_table.h"

namespace wisteriadale::core {

/// How bad a finding is.
enum class finding_severity {
  kError,    ///< requests or stages that the document allows cannot be served
  kWarning,  ///< something in it never takes effect, or cannot be kept
};

/// @return the name used in output
std::string_view ToString(finding_severity severity);

/// Something wrong in a document of routes that can be decoded.
struct route_finding {
  finding_severity severity = finding_severity::kError;
  std::string entry;  ///< such as "route look" or "service plain"
  std::string text;
};

/// Checks a document of routes before it is sent: entries that refer to nothing
/// or can never match, and limits that contradict each other.
/// @param in_force the document that it would replace; may be null
/// @return what was found, errors first
std::vector<route_finding> CheckRoutes(const route_document& document,
                                       const route_document* in_force);

}  // namespace wisteriadale::core
