#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace wisteriadale::ctl {

/// One difference between two JSON documents.
struct document_change {
  std::string pointer;  ///< JSON pointer to the value
  std::string before;   ///< JSON text; empty when the value was added
  std::string after;    ///< JSON text; empty when the value was removed
};

/// Compares two JSON documents.
/// @return the differences, in the order of the JSON patch that turns the first
/// document into the second; empty if either text is not valid JSON
std::vector<document_change> DiffDocuments(std::string_view before,
                                           std::string_view after);

}  // namespace wisteriadale::ctl
