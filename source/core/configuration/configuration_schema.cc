#include "core/configuration/configuration_schema.h"

#include <nlohmann/json.hpp>

#include "common/nearest_name.h"
#include "settings/schema_check.h"

namespace wisteriadale::core {
namespace {

using nlohmann::json;

// Keys that are not listed in `properties` are unknown, except where
// `additionalProperties` describes entries whose names the operator chooses.
constexpr std::string_view kSchema = R"({
  "type": "object",
  "required": ["preset", "presets", "pipelines"],
  "properties": {
    "preset": {"type": "string"},
    "presets": {
      "type": "object",
      "minProperties": 1,
      "additionalProperties": {
        "type": "object",
        "properties": {
          "routing": {"enum": ["two_choices", "round_robin", "random",
                               "least_outstanding"]},
          "subset_size": {"type": "integer", "minimum": 1, "maximum": 4096},
          "spill_at": {"type": "number", "minimum": 0, "maximum": 1000},
          "remote_penalty": {"type": "number", "minimum": 1, "maximum": 1000},
          "prefix_affinity": {"type": "boolean"},
          "affinity_bound": {"type": "number", "minimum": 1, "maximum": 100},
          "slow_start_ms": {"type": "integer", "minimum": 0,
                            "maximum": 600000},
          "ejection_share": {"type": "number", "minimum": 0, "maximum": 0.5},
          "retry": {"enum": ["budget", "none", "immediate"]},
          "max_attempts": {"type": "integer", "minimum": 1, "maximum": 16},
          "max_request_retries": {"type": "integer", "minimum": 0,
                                  "maximum": 64},
          "retry_ratio": {"type": "number", "minimum": 0, "maximum": 1},
          "hedging": {"type": "boolean"},
          "hedge_quantile": {"type": "number", "minimum": 0.5,
                             "maximum": 0.999},
          "deadlines": {"enum": ["quantiles", "whole"]},
          "finish_quantile": {"type": "number", "minimum": 0, "maximum": 1},
          "timeout_quantile": {"type": "number", "minimum": 0.5,
                               "maximum": 1},
          "timeout_factor": {"type": "number", "minimum": 1, "maximum": 100},
          "admission": {"enum": ["early", "open"]},
          "organisation_rate": {"type": "number", "minimum": 0,
                                "maximum": 1000000},
          "drained_data_centres": {
            "type": "array",
            "items": {"type": "string", "minLength": 1}
          }
        }
      }
    },
    "pipelines": {
      "type": "object",
      "minProperties": 1,
      "additionalProperties": {
        "type": "object",
        "required": ["stages"],
        "properties": {
          "deadline_ms": {"type": "integer", "minimum": 1, "maximum": 3600000},
          "deferrable": {"type": "boolean"},
          "stages": {
            "type": "array",
            "minItems": 1,
            "items": {
              "type": "object",
              "required": ["name", "pool"],
              "properties": {
                "name": {"type": "string", "minLength": 1},
                "pool": {"type": "string", "minLength": 1},
                "idempotent": {"type": "boolean"},
                "streamed": {"type": "boolean"},
                "prefix_affinity": {"type": "boolean"}
              }
            }
          }
        }
      }
    },
    "organisations": {
      "type": "object",
      "additionalProperties": {
        "type": "object",
        "properties": {
          "key_sha256": {"type": "string", "pattern": "^([0-9a-f]{64})?$"},
          "weight": {"type": "integer", "minimum": 1, "maximum": 1000000}
        }
      }
    }
  }
})";

const json& Schema() {
  static const json kParsed = json::parse(kSchema);
  return kParsed;
}

std::string UnknownKey(const std::string& key, const json& properties) {
  std::vector<std::string_view> known;
  for (const auto& [name, unused] : properties.items()) known.push_back(name);
  return "is not a known key; the nearest is " +
         std::string(common::NearestName(key, known));
}

void FindUnknownKeys(const json& value, const json& schema,
                     const std::string& pointer,
                     std::vector<configuration_error>* errors) {
  if (value.is_array() && schema.contains("items")) {
    for (size_t i = 0; i < value.size(); ++i) {
      std::string child_pointer = pointer;
      child_pointer.append("/").append(std::to_string(i));
      FindUnknownKeys(value[i], schema["items"], child_pointer, errors);
    }
  }
  if (!value.is_object()) return;
  const json properties = schema.value("properties", json::object());
  for (const auto& [key, child] : value.items()) {
    std::string child_pointer = pointer;
    child_pointer.append("/").append(key);
    if (properties.contains(key)) {
      FindUnknownKeys(child, properties[key], child_pointer, errors);
    } else if (schema.contains("additionalProperties")) {
      FindUnknownKeys(child, schema["additionalProperties"], child_pointer,
                      errors);
    } else if (!properties.empty()) {
      errors->push_back({child_pointer, UnknownKey(key, properties)});
    }
  }
}

}  // namespace

std::string_view ConfigurationSchema() { return kSchema; }

std::vector<configuration_error> CheckConfigurationSchema(
    std::string_view document) {
  const json parsed = json::parse(document, nullptr, false);
  if (!parsed.is_object()) return {{"", "the document is not a JSON object"}};
  std::vector<configuration_error> errors;
  for (const settings::settings_error& error :
       settings::CheckSchema(Schema(), parsed)) {
    errors.push_back({error.pointer, error.text});
  }
  FindUnknownKeys(parsed, Schema(), "", &errors);
  return errors;
}

}  // namespace wisteriadale::core
