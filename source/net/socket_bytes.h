#pragma once

#include <cstdint>

#include "net/endpoint.h"

namespace wisteriadale::net {

/// @param fd a connected TCP socket
/// @return the bytes that this process has read from the socket so far
uint64_t BytesRead(int fd);

/// @param fd a connected TCP socket
/// @return whether the peer sends no more and everything it sent was read
bool PeerHasClosed(int fd);

/// @return whether a socket of this VM already has the address and port
bool IsListening(const endpoint& at);

}  // namespace wisteriadale::net
