#pragma once

#include "common/clock.h"

namespace wisteriadale::net {

void SetSocketOption(int fd, int level, int name, int value);

/// Selects whether closing a socket resets its connection.
void SetResetOption(int fd, bool reset);

/// Prepares a TCP socket. The kernel ends its connection when the peer takes
/// nothing, or answers no keepalive probe, for about two seconds.
void TuneSocket(int fd);

/// Prepares a connected socket for peer_progress: a peer with a closed window
/// is probed each second, and the kernel does not end its connection for that.
/// On a kernel without one of the options everything stays as TuneSocket set
/// it.
/// @return whether TimeSinceAcknowledgement is to be watched from now on
bool WatchAcknowledgements(int fd);

/// @return time since the peer last acknowledged anything; zero if the kernel
/// does not tell
common::duration TimeSinceAcknowledgement(int fd);

}  // namespace wisteriadale::net
