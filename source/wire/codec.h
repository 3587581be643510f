#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/messages.h"

/// Encoding of the messages that the product's own processes exchange.
namespace wisteriadale::wire {

/// Encodes a message between routers and agents, or between routers.
/// @return the message as one frame
std::string Encode(const core::message& message);

/// Decodes a message between routers and agents, or between routers.
/// @param frame the bytes of one frame
/// @return the message, or nothing with LastError set to kBadFrame
std::optional<core::message> Decode(std::string_view frame);

}  // namespace wisteriadale::wire
