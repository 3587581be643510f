#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace wisteriadale::core {

/// One fault of a configuration document.
struct configuration_error {
  std::string pointer;  ///< JSON pointer to the value
  std::string text;
};

/// @return the JSON schema of configuration documents
std::string_view ConfigurationSchema();

/// Checks a document against the schema and for unknown keys.
/// @param document JSON text
/// @return every fault; empty when there is none
std::vector<configuration_error> CheckConfigurationSchema(
    std::string_view document);

}  // namespace wisteriadale::core
