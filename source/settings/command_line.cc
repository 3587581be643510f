#include "settings/command_line.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <string>
#include <vector>

DECLARE_bool(help);
DECLARE_bool(version);

namespace wisteriadale::settings {
namespace {

void PrintHelp(std::string_view binary, std::string_view about) {
  std::printf("%s: %s\n\nflags:\n", std::string(binary).c_str(),
              std::string(about).c_str());
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  for (const gflags::CommandLineFlagInfo& flag : flags) {
    // gflags defines its own flags outside source/.
    if (flag.filename.find("source/") == std::string::npos) continue;
    std::printf(
        "  --%-16s %s (default: %s)\n", flag.name.c_str(),
        flag.description.c_str(),
        flag.default_value.empty() ? "none" : flag.default_value.c_str());
  }
  std::printf("  --%-16s %s\n  --%-16s %s\n", "help", "print this text",
              "version", "print the version");
}

}  // namespace

bool ParseCommandLine(int* argc, char*** argv, std::string_view binary,
                      std::string_view about) {
  gflags::SetVersionString(WISTERIADALE_VERSION);
  gflags::ParseCommandLineNonHelpFlags(argc, argv, true);
  if (FLAGS_help) {
    PrintHelp(binary, about);
    return false;
  }
  if (FLAGS_version) {
    std::printf("%s %s\n", std::string(binary).c_str(), WISTERIADALE_VERSION);
    return false;
  }
  return true;
}

}  // namespace wisteriadale::settings
