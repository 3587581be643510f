#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/messages.h"

/// Encoding of the messages between the system's own processes.
namespace wisteriadale::wire {

/// @return the message as one frame
std::string Encode(const core::message& message);

/// @param frame the bytes of one frame
/// @return the message, or nothing with LastReason set to kBadFrame
std::optional<core::message> Decode(std::string_view frame);

}  // namespace wisteriadale::wire
