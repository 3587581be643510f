#pragma once

#include <string_view>

namespace wisteriadale::settings {

/// Reads the command line of a program. `--help` and `--version` are answered
/// here, with the flags of the program itself only.
/// @param about what the program does, and how it is called
/// @return false when the program should exit at once with code 0
bool ParseCommandLine(int* argc, char*** argv, std::string_view binary,
                      std::string_view about);

}  // namespace wisteriadale::settings
