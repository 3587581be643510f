#pragma once

#include <span>
#include <string>
#include <string_view>

#include "ctl/exit_code.h"
#include "ctl/router_client.h"

namespace wisteriadale::ctl {

/// How answers are shown.
enum class output_format { kTable, kJson };

/// Runs one command.
/// @param words  command, verb and arguments
/// @param client how routers are reached
/// @param format how the answer is shown, on standard output
exit_code RunCommand(std::span<const std::string> words, router_client& client,
                     output_format format);

/// @return one line for each command, for --help
std::string CommandHelp();

}  // namespace wisteriadale::ctl
