#pragma once

#include <sys/types.h>

#include <cstdint>

namespace wisteriadale::scenario {

/// Asks the kernel, for IPv4 sockets.
/// @param pid of a process of the same user
/// @return bytes that the process has received over TCP and not read yet,
/// those of connections that it has not accepted yet included
int64_t UnreadBytes(pid_t pid);

}  // namespace wisteriadale::scenario
