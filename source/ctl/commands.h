#pragma once

#include <span>
#include <string>
#include <string_view>

#include "ctl/exit_code.h"
#include "ctl/router_client.h"

namespace wisteriadale::ctl {

/// How answers are printed.
enum class output_format { kTable, kJson };

/// Runs one command and prints its answer on standard output, or its error on
/// standard error.
/// @param words  command, verb and arguments
/// @param client calls the routers
/// @param format how the answer is printed
/// @return the exit code of the process
exit_code RunCommand(std::span<const std::string> words, router_client& client,
                     output_format format);

/// @return the help text: usage and purpose of each command, one a line
std::string CommandHelp();

}  // namespace wisteriadale::ctl
