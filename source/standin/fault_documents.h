#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "standin/platform_service.h"

namespace wisteriadale::standin {

/// What a test asked of the stand-in's faults.
struct fault_document {
  bool ends_all = false;       ///< no fault is left, on any target either
  bool about_targets = false;  ///< else about the platform
  std::vector<std::string> targets;
  std::string pool;
  std::string data_centre;
  target_faults of_targets;
  platform_faults of_platform;

  bool Selects(const target_options& target) const;
};

/// Reads a fault document.
/// @return the document, or nothing when it is not a JSON object, names an
/// unknown fault or holds a value of the wrong type
std::optional<fault_document> ParseFaults(std::string_view text);

}  // namespace wisteriadale::standin
