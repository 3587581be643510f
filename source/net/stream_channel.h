#pragma once

#include <cstddef>
#include <limits>
#include <memory>
#include <string_view>

#include "common/byte_account.h"
#include "net/channel.h"
#include "net/http1_parser.h"
#include "net/tcp_stream.h"

namespace wisteriadale::net {

/// What the accepted channels of a server have in common.
struct channel_group {
  size_t open = 0;
  size_t max_open = std::numeric_limits<size_t>::max();
  common::byte_account* account = nullptr;  ///< may be null
};

/// @return whether a request asks to continue as a channel
bool IsChannelHandshake(const message_head& head);

/// Answers the handshake of a channel, and continues its connection as one. It
/// lives until it ends or is closed, whether or not the acceptor keeps it.
/// @param stream of the handshake
/// @param head   of the handshake
/// @param rest   bytes of the connection behind the handshake
/// @param group  counts the channel until it ends
/// @param accept gets the channel before anything is read from it
void AcceptChannel(event_loop& loop, std::unique_ptr<tcp_stream> stream,
                   const message_head& head, std::string_view rest,
                   const std::shared_ptr<channel_group>& group,
                   const channel_acceptor& accept);

/// Drops the handlers of all accepted channels of a loop that is about to be
/// destroyed, as the objects they refer to may already be destroyed.
void DropAcceptedHandlers(const event_loop& loop);

}  // namespace wisteriadale::net
