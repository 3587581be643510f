#pragma once

#include <optional>
#include <string>

#include "settings/settings_document.h"

namespace wisteriadale::settings {

inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitBadSettings = 2;

/// Outcome of SetUpProcess.
struct startup_result {
  std::optional<settings_document> settings;  ///< empty: exit with exit_code
  int exit_code = kExitOk;
};

/// Catches signals, parses the command line, loads the settings and starts
/// logging. Called first, so that no signal ends the process from then on.
/// @param binary name of the program
/// @param about  one sentence for --help
/// @param table  settings that the program accepts
/// @param default_path settings file when the command line names none
startup_result SetUpProcess(int* argc, char*** argv, const std::string& binary,
                            const std::string& about, setting_table table,
                            const std::string& default_path = "");

/// Reports LastError as the reason why a process could not be created.
/// @return the exit code: kExitOk if the process has been told to stop
int ExitCodeOfFailedStart(const std::string& binary);

/// Reads the settings that the parsed command line names.
/// @return the settings, or nothing with LastError naming every error
std::optional<settings_document> LoadSettings(
    setting_table table, const std::string& default_path = "");

}  // namespace wisteriadale::settings
