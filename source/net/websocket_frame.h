#pragma once

#include <string>
#include <string_view>

namespace wisteriadale::net {

/// Which end of a WebSocket connection sends a frame.
enum class frame_sender { kClient, kServer };

/// Appends a message as one unfragmented binary frame (RFC 6455).
/// @param message payload of the frame
/// @param sender  the frames of clients carry a mask
/// @param to      buffer to append to
void AppendBinaryFrame(std::string_view message, frame_sender sender,
                       std::string* to);

}  // namespace wisteriadale::net
