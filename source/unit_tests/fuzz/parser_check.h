#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace wisteriadale::fuzz {

/// Parses the messages in a text twice: at once, and in arrivals of random
/// sizes. Checks that both have the same result, that few bytes are kept, and
/// that each byte is examined at most twice.
/// @param is_request whether the text consists of requests, or of responses
/// @param seed       of the sizes of the arrivals
/// @return the check that failed, or an empty text
std::string CheckParser(bool is_request, std::string_view text, uint64_t seed);

}  // namespace wisteriadale::fuzz
