#include "settings/schema_check.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace wisteriadale::settings {
namespace {

using nlohmann::json;
using valijson::adapters::NlohmannJsonAdapter;

json SchemaOfSetting(const setting& which) {
  switch (which.type) {
    case setting_type::kInteger:
      return {{"type", "integer"},
              {"minimum", which.minimum},
              {"maximum", which.maximum}};
    case setting_type::kNumber:
      return {{"type", "number"},
              {"minimum", which.minimum},
              {"maximum", which.maximum}};
    case setting_type::kBoolean:
      return {{"type", "boolean"}};
    case setting_type::kText:
      return {{"type", "string"},
              {"minLength", static_cast<int64_t>(which.minimum)},
              {"maxLength", static_cast<int64_t>(which.maximum)}};
    case setting_type::kList:
      return {{"type", "array"}};
  }
  return {};
}

/// @return the place of the setting in the schema
json::json_pointer SchemaPointer(std::string_view pointer) {
  std::string at;
  for (const char c : pointer) {
    if (c == '/') {
      at.append("/properties/");
    } else {
      at.push_back(c);
    }
  }
  return json::json_pointer(at);
}

/// Makes each group an object; only the leaves have a type from the table.
void MarkGroups(json* schema) {
  (*schema)["type"] = "object";
  for (auto& [name, child] : (*schema)["properties"].items()) {
    if (!child.contains("type")) MarkGroups(&child);
  }
}

/// valijson gives a path as ["<root>", "[name]", ...].
std::string PointerOf(const std::vector<std::string>& context) {
  std::string pointer;
  for (const std::string& step : context) {
    if (step.size() < 2 || step.front() != '[') continue;
    pointer.append("/").append(step, 1, step.size() - 2);
  }
  return pointer;
}

/// An error inside a value is also reported for each value that encloses it.
bool EnclosesAnother(const settings_error& outer,
                     const std::vector<settings_error>& errors) {
  return std::any_of(errors.begin(), errors.end(),
                     [&outer](const settings_error& inner) {
                       return inner.pointer.size() > outer.pointer.size() &&
                              inner.pointer.starts_with(outer.pointer + "/");
                     });
}

}  // namespace

json SchemaOf(setting_table table) {
  json schema = {{"properties", json::object()}};
  for (const setting* which : table) {
    schema[SchemaPointer(which->pointer)] = SchemaOfSetting(*which);
  }
  MarkGroups(&schema);
  return schema;
}

std::vector<settings_error> CheckSchema(const json& schema,
                                        const json& document) {
  valijson::Schema parsed;
  valijson::SchemaParser parser;
  const NlohmannJsonAdapter schema_adapter(schema);
  parser.populateSchema(schema_adapter, parsed);
  valijson::Validator validator;
  valijson::ValidationResults results;
  const NlohmannJsonAdapter document_adapter(document);
  validator.validate(parsed, document_adapter, &results);
  std::vector<settings_error> errors;
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    errors.push_back({PointerOf(error.context), error.description});
  }
  std::vector<settings_error> innermost;
  for (const settings_error& candidate : errors) {
    if (!EnclosesAnother(candidate, errors)) innermost.push_back(candidate);
  }
  return innermost;
}

}  // namespace wisteriadale::settings
