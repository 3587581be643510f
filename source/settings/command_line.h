#pragma once

#include <string_view>

namespace wisteriadale::settings {

/// Parses the command line of a program. Handles `--version` and `--help`,
/// which lists only the program's own flags.
/// @param about what the program does and its usage
/// @return false when the program should exit at once with code 0
bool ParseCommandLine(int* argc, char*** argv, std::string_view binary,
                      std::string_view about);

}  // namespace wisteriadale::settings
