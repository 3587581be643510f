#pragma once

#include <string_view>

#include "net/http1_parser.h"

namespace wisteriadale::net {

/// Records that a message ends because a part of it exceeds its limit: in the
/// log, and in a counter for each kind of message and part.
/// @param kind       "request" or "response"
/// @param request_id empty if it isn't known
/// @param peer       address of the sender
void ReportTooLarge(std::string_view kind, const exceeded_limit& limit,
                    std::string_view request_id, std::string_view peer);

}  // namespace wisteriadale::net
