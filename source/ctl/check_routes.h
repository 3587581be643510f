#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/routes/route_check.h"
#include "ctl/document_diff.h"
#include "ctl/exit_code.h"

namespace wisteriadale::ctl {

/// What is to be known of a document of routes before it is sent.
struct routes_report {
  std::vector<core::route_finding> findings;
  std::vector<document_change> changes;  ///< to the document in force
  size_t errors = 0;

  /// @return kRefused if there are errors
  exit_code ToExitCode() const;
  /// @return JSON with `errors`, `findings` and `changes`
  std::string ToJson() const;
  /// @return tables for people
  std::string ToText() const;
};

/// Checks a document of routes as gateways decode it.
/// @param in_force the document that it would replace; empty: not known
routes_report CheckRoutesText(std::string_view text, std::string_view in_force);

}  // namespace wisteriadale::ctl
