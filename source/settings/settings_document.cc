#include "settings/settings_document.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "common/last_error.h"
#include "common/nearest_name.h"
#include "settings/schema_check.h"

namespace wisteriadale::settings {
namespace {

using nlohmann::json;

json::json_pointer PointerOf(const setting& which) {
  return json::json_pointer(std::string(which.pointer));
}

std::string_view NameOf(setting_type type) {
  constexpr std::string_view kNames[] = {"an integer", "a number", "a boolean",
                                         "a text", "a list"};
  return kNames[static_cast<int>(type)];
}

std::string_view Nearest(std::string_view pointer, setting_table table) {
  std::vector<std::string_view> known;
  for (const setting* entry : table) known.push_back(entry->pointer);
  return common::NearestName(pointer, known);
}

const setting* FindSetting(std::string_view pointer, setting_table table) {
  for (const setting* known : table) {
    if (known->pointer == pointer) return known;
  }
  return nullptr;
}

/// Collects the pointers of all leaves; a list is a leaf.
void CollectLeaves(const json& value, const std::string& pointer,
                   std::vector<std::string>* leaves) {
  if (!value.is_object()) {
    leaves->push_back(pointer);
    return;
  }
  for (const auto& [name, child] : value.items()) {
    std::string child_pointer = pointer;
    child_pointer.append("/").append(name);
    CollectLeaves(child, child_pointer, leaves);
  }
}

void CheckKnown(const json& document, setting_table table,
                std::vector<settings_error>* errors) {
  std::vector<std::string> leaves;
  CollectLeaves(document, "", &leaves);
  for (const std::string& leaf : leaves) {
    if (leaf.empty() || FindSetting(leaf, table) != nullptr) continue;
    errors->push_back({leaf, "is not a setting; the nearest is " +
                                 std::string(Nearest(leaf, table))});
  }
}

/// Parses numbers, booleans and lists as JSON; text needs no quotes.
json ParseOverride(const setting* which, std::string_view text) {
  if (which != nullptr && which->type == setting_type::kText) return text;
  json value = json::parse(text, nullptr, false);
  return value.is_discarded() ? json(text) : value;
}

void ApplyOverrides(std::span<const std::string> overrides, setting_table table,
                    json* document, std::vector<settings_error>* errors) {
  for (const std::string& pair : overrides) {
    const size_t equals = pair.find('=');
    if (equals == std::string::npos || pair.empty() || pair[0] != '/') {
      errors->push_back({pair, "is not of the form /pointer=value"});
      continue;
    }
    const std::string pointer = pair.substr(0, equals);
    (*document)[json::json_pointer(pointer)] = ParseOverride(
        FindSetting(pointer, table), std::string_view(pair).substr(equals + 1));
  }
}

/// Parses a document and reports duplicate keys: of two values, the library
/// would silently keep the last.
json ParseUniqueKeys(std::string_view text,
                     std::vector<settings_error>* errors) {
  std::vector<std::set<std::string>> open_objects;
  return json::parse(text, [&](int, json::parse_event_t event, json& parsed) {
    if (event == json::parse_event_t::object_start) open_objects.emplace_back();
    if (event == json::parse_event_t::object_end) open_objects.pop_back();
    if (event == json::parse_event_t::key) {
      const std::string key = parsed.get<std::string>();
      if (!open_objects.back().insert(key).second) {
        errors->push_back({key, "is a duplicate key"});
      }
    }
    return true;
  });
}

std::string Join(const std::vector<settings_error>& errors) {
  std::string text;
  for (const settings_error& error : errors) {
    if (!text.empty()) text.append("\n");
    text.append(error.pointer).append(": ").append(error.text);
  }
  return text;
}

}  // namespace

struct settings_document::state {
  json values;
};

std::optional<settings_document> settings_document::Load(
    const std::string& path, std::span<const std::string> overrides,
    setting_table table) {
  if (path.empty()) return Parse("{}", overrides, table);
  std::ifstream file(path);
  if (!file) {
    common::SetLastError(common::result_code::kBadSettings,
                         path + ": cannot be read");
    return std::nullopt;
  }
  std::stringstream text;
  text << file.rdbuf();
  return Parse(text.str(), overrides, table);
}

std::optional<settings_document> settings_document::Parse(
    std::string_view text, std::span<const std::string> overrides,
    setting_table table) {
  std::vector<settings_error> errors;
  json document;
  // The library reports a syntax error by an exception, with its position.
  try {
    document = ParseUniqueKeys(text, &errors);
  } catch (const json::parse_error& error) {
    common::SetLastError(common::result_code::kBadSettings, error.what());
    return std::nullopt;
  }
  if (!document.is_object()) {
    common::SetLastError(common::result_code::kBadSettings,
                         "the file is not a JSON object");
    return std::nullopt;
  }
  ApplyOverrides(overrides, table, &document, &errors);
  CheckKnown(document, table, &errors);
  for (settings_error& error : CheckSchema(SchemaOf(table), document)) {
    errors.push_back(std::move(error));
  }
  const std::shared_ptr<state> checked = std::make_shared<state>();
  for (const setting* which : table) {
    const json::json_pointer pointer = PointerOf(*which);
    if (document.contains(pointer)) {
      checked->values[pointer] = document[pointer];
    } else if (which->default_json.empty()) {
      errors.push_back({std::string(which->pointer), "is required"});
    } else {
      checked->values[pointer] = json::parse(which->default_json);
    }
  }
  if (!errors.empty()) {
    common::SetLastError(common::result_code::kBadSettings, Join(errors));
    return std::nullopt;
  }
  settings_document result;
  result.state_ = checked;
  return result;
}

int64_t settings_document::Integer(const setting& which) const {
  return state_->values.at(PointerOf(which)).get<int64_t>();
}

double settings_document::Number(const setting& which) const {
  return state_->values.at(PointerOf(which)).get<double>();
}

bool settings_document::Boolean(const setting& which) const {
  return state_->values.at(PointerOf(which)).get<bool>();
}

std::string settings_document::Text(const setting& which) const {
  return state_->values.at(PointerOf(which)).get<std::string>();
}

std::string settings_document::Json(const setting& which) const {
  return state_->values.at(PointerOf(which)).dump();
}

std::string SettingsMarkdown(setting_table table) {
  std::ostringstream out;
  out << "| setting | type | default | bounds | meaning |\n"
      << "|---|---|---|---|---|\n";
  for (const setting* which : table) {
    out << "| `" << which->pointer << "` | " << NameOf(which->type) << " | "
        << (which->default_json.empty()
                ? "required"
                : "`" + std::string(which->default_json) + "`")
        << " | " << which->minimum << " to " << which->maximum << " | "
        << which->help << " |\n";
  }
  return out.str();
}

}  // namespace wisteriadale::settings
