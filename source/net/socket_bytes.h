#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

struct lws;

namespace wisteriadale::net {

/// @param fd a TCP socket
/// @return number of bytes that the kernel holds because the peer has not
/// acknowledged them; 0 if the kernel does not tell
size_t UnacknowledgedBytes(int fd);

/// Writes to a connection without the send buffer of libwebsockets.
/// @param wsi  an open connection, with or without TLS
/// @param data not empty
/// @return number of bytes that the socket took, 0 if it takes none now;
/// nothing if the connection is broken
std::optional<size_t> WriteToSocket(lws* wsi, std::string_view data);

}  // namespace wisteriadale::net
