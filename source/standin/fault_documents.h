#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "standin/platform_service.h"

namespace wisteriadale::standin {

/// A test's request to set or clear injected faults.
struct fault_document {
  bool clears_all = false;          ///< of the platform and of every target
  bool applies_to_targets = false;  ///< false: to the platform
  std::vector<std::string> targets;
  std::string pool;
  std::string data_centre;
  target_faults new_target_faults;
  platform_faults new_platform_faults;

  /// @return whether the document selects this target, by id, pool or data
  /// centre
  bool Matches(const target_options& target) const;
};

/// Parses a fault document.
/// @return the document, or nothing when the text is not a JSON object, names
/// an unknown fault or contains a value of the wrong type
std::optional<fault_document> ParseFaultDocument(std::string_view text);

}  // namespace wisteriadale::standin
