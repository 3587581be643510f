#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace wisteriadale::core {

/// One error of a configuration document.
struct configuration_error {
  std::string pointer;  ///< JSON pointer to the invalid value
  std::string text;
};

/// @return the JSON schema of configuration documents
std::string_view ConfigurationSchema();

/// Validates a document against the schema and checks it for unknown keys.
/// @param document JSON text
/// @return all errors; empty if the document is valid
std::vector<configuration_error> CheckConfigurationSchema(
    std::string_view document);

}  // namespace wisteriadale::core
