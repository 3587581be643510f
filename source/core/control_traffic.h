#pragma once

#include <cstddef>
#include <string_view>

#include "core/messages.h"

namespace wisteriadale::core {

/// @return whether a message carries control and no part of a request
bool IsControlMessage(const message& message);

/// Counts a control message in the metrics; others are left out.
/// @param direction `sent` or `received`
void CountControlMessage(std::string_view direction, const message& message,
                         size_t bytes);

}  // namespace wisteriadale::core
