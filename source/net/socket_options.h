#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <string>

#include "common/clock.h"
#include "net/endpoint.h"
#include "net/peer_progress.h"

namespace wisteriadale::net {

void SetSocketOption(int fd, int level, int name, int value);

/// @return false if the address is not IPv4
bool ToSocketAddress(const endpoint& from, sockaddr_in* to);

/// @return what failed for an address, and errno as text
std::string SocketErrorText(const std::string& what, const endpoint& where);

/// Selects whether closing a socket resets its connection.
void SetResetOption(int fd, bool reset);

/// Prepares a TCP socket. The kernel ends its connection when the peer takes
/// nothing, or answers no keepalive probe, for about two seconds.
void TuneSocket(int fd);

/// Prepares a connected socket for peer_progress: a peer with a closed window
/// is probed each second where the kernel can do so, else ever less often, and
/// the kernel does not end its connection for that. Where the kernel does not
/// tell of acknowledgements, everything stays as TuneSocket set it.
/// @return whether SampleOf is to be watched from now on
bool WatchAcknowledgements(int fd);

/// @param now       the time of the sample
/// @param delivered bytes that the peer has acknowledged so far
/// @return what the kernel tells of the peer; without any silence if it tells
/// nothing
peer_sample SampleOf(int fd, common::time_point now, uint64_t delivered);

}  // namespace wisteriadale::net
