#include "settings/process_setup.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <vector>

#include "common/invariant.h"
#include "common/last_error.h"
#include "common/log.h"
#include "common/process_signals.h"
#include "settings/command_line.h"
#include "settings/common_settings.h"

DEFINE_string(settings, "", "settings file (JSON); empty means defaults");
DEFINE_string(set, "", "settings that override the file: /pointer=value,...");
DEFINE_bool(check, false, "check the settings, report every error, and exit");
DEFINE_bool(print_settings, false, "print the settings as a Markdown table");

namespace wisteriadale::settings {
namespace {

std::vector<std::string> SplitOverrides(const std::string& text) {
  std::vector<std::string> parts;
  size_t start = 0;
  while (start < text.size()) {
    // A comma inside a value does not start a new pair.
    const size_t end = std::min(text.find(",/", start), text.size());
    parts.push_back(text.substr(start, end - start));
    start = end + 1;
  }
  return parts;
}

void ConfigureLogging(const settings_document& settings) {
  common::log_options options;
  options.process = settings.Text(kName);
  options.json = settings.Boolean(kLogJson);
  options.file = settings.Text(kLogFile);
  options.level = common::LogLevelFromName(settings.Text(kLogLevel))
                      .value_or(common::log_level::kInfo);
  common::StartLogging(options);
  common::SetInvariantMode(settings.Boolean(kInvariantsFatal)
                               ? common::invariant_mode::kFatal
                               : common::invariant_mode::kCount);
}

}  // namespace

startup_result SetUpProcess(int* argc, char*** argv, const std::string& binary,
                            const std::string& about, setting_table table,
                            const std::string& default_path) {
  common::CatchSignals();
  startup_result start;
  if (!ParseCommandLine(argc, argv, binary, about)) return start;
  if (FLAGS_print_settings) {
    std::fputs(SettingsMarkdown(table).c_str(), stdout);
    return start;
  }
  start.settings = LoadSettings(table, default_path);
  if (!start.settings) {
    std::fprintf(stderr, "%s: the settings have errors:\n%s\n", binary.c_str(),
                 common::LastError().text.c_str());
    start.exit_code = kExitBadSettings;
    return start;
  }
  if (FLAGS_check) {
    std::puts("the settings are valid");
    start.settings.reset();
    return start;
  }
  ConfigureLogging(*start.settings);
  return start;
}

int ExitCodeOfFailedStart(const std::string& binary) {
  std::fprintf(stderr, "%s: %u %s\n", binary.c_str(),
               static_cast<unsigned>(common::LastError().code),
               common::LastError().text.c_str());
  return common::StopSignalCount() > 0 ? kExitOk : kExitFailed;
}

std::optional<settings_document> LoadSettings(setting_table table,
                                              const std::string& default_path) {
  return settings_document::Load(
      FLAGS_settings.empty() ? default_path : FLAGS_settings,
      SplitOverrides(FLAGS_set), table);
}

}  // namespace wisteriadale::settings
