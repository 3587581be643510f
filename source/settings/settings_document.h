#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Settings of the processes, each declared once.
namespace wisteriadale::settings {

enum class setting_type { kInteger, kNumber, kBoolean, kText, kList };

/// Declaration of one setting. A unit, where there is one, ends its name.
struct setting {
  std::string_view pointer;  ///< JSON pointer in the settings file
  setting_type type;
  std::string_view default_json;  ///< empty: the setting is required
  double minimum;                 ///< of a number, or of a text's length
  double maximum;
  std::string_view help;
};

using setting_table = std::span<const setting* const>;

/// One error in the settings of a process.
struct settings_error {
  std::string pointer;
  std::string text;
};

/// The checked settings of a process.
class settings_document {
 public:
  /// Reads and checks a file.
  /// @param path      settings file; empty means all defaults
  /// @param overrides `pointer=value` pairs that take precedence over the file
  /// @param table     the settings that the process accepts
  /// @return the settings, or nothing with LastError naming every error
  static std::optional<settings_document> Load(
      const std::string& path, std::span<const std::string> overrides,
      setting_table table);

  /// As Load, from JSON text.
  static std::optional<settings_document> Parse(
      std::string_view text, std::span<const std::string> overrides,
      setting_table table);

  /// The setting must be in the table and of the getter's type (Json: any
  /// type).
  /// @return the value of the setting, in the unit that ends its name
  int64_t Integer(const setting& which) const;
  double Number(const setting& which) const;
  bool Boolean(const setting& which) const;
  std::string Text(const setting& which) const;
  /// @return the value as JSON text
  std::string Json(const setting& which) const;

 private:
  struct state;
  std::shared_ptr<const state> state_;
};

/// @return a Markdown table of the settings with their defaults and bounds
std::string SettingsMarkdown(setting_table table);

}  // namespace wisteriadale::settings
