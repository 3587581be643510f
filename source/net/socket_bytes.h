#pragma once

#include <cstdint>

namespace wisteriadale::net {

/// @param fd a connected TCP socket
/// @return number of bytes that this process has read from the socket so far
uint64_t BytesRead(int fd);

/// @param fd a connected TCP socket
/// @return whether the peer has closed its side and all its bytes were read
bool PeerHasClosed(int fd);

}  // namespace wisteriadale::net
