#pragma once

#include <optional>
#include <string>

#include "settings/settings_document.h"

namespace wisteriadale::settings {

inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitBadSettings = 2;

/// What the command line of a process led to.
struct startup_result {
  std::optional<settings_document> settings;  ///< empty: exit at once
  int exit_code = kExitOk;
};

/// Reads the command line and the settings, and starts logging.
/// @param binary name of the program
/// @param about  one sentence for --help
/// @param table  settings that the program knows
/// @param default_path settings file when the command line names none
startup_result SetUpProcess(int* argc, char*** argv, const std::string& binary,
                            const std::string& about, setting_table table,
                            const std::string& default_path = "");

/// Reads the settings again, as SetUpProcess did.
/// @return the settings, or nothing with LastError naming every fault
std::optional<settings_document> LoadSettings(
    setting_table table, const std::string& default_path = "");

}  // namespace wisteriadale::settings
