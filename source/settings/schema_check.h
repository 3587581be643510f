#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "settings/settings_document.h"

namespace wisteriadale::settings {

/// @return the JSON schema of a table of settings
nlohmann::json SchemaOf(setting_table table);

/// Checks a document against a JSON schema.
/// @return the innermost errors, each with its JSON pointer
std::vector<settings_error> CheckSchema(const nlohmann::json& schema,
                                        const nlohmann::json& document);

}  // namespace wisteriadale::settings
