#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/fleet/gateway_messages.h"

namespace wisteriadale::wire {

/// Encodes a message between gateways.
/// @return the message as one frame
std::string EncodeGatewayMessage(const core::gateway_message& message);

/// Decodes a message between gateways.
/// @param frame the bytes of one frame
/// @return the message, or nothing with LastError set to kBadFrame
std::optional<core::gateway_message> DecodeGatewayMessage(
    std::string_view frame);

}  // namespace wisteriadale::wire
