#pragma once

#include <cstdint>

namespace wisteriadale::net {

/// @param fd a connected TCP socket
/// @return the bytes that this process has read from the socket so far
uint64_t BytesRead(int fd);

/// @param fd a connected TCP socket
/// @return whether the peer sends no more and everything it sent was read
bool PeerHasClosed(int fd);

}  // namespace wisteriadale::net
