#pragma once

#include <cstddef>
#include <string_view>

#include "core/messages.h"

namespace wisteriadale::core {

/// @return whether the message belongs to the control plane, not to a request
bool IsControlMessage(const message& message);

/// Counts the message in the metrics of control traffic; ignores messages that
/// belong to requests.
/// @param direction `sent` or `received`
/// @param bytes     size of the message on the wire
void CountControlMessage(std::string_view direction, const message& message,
                         size_t bytes);

}  // namespace wisteriadale::core
