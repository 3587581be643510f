#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace wisteriadale::net {

/// @return the bytes as base64
std::string EncodeBase64(std::string_view bytes);

/// @return the bytes, or nothing if the text is not base64
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace wisteriadale::net
