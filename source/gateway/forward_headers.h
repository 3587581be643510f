#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <vector>

#include "net/http1_parser.h"

namespace wisteriadale::gateway {

/// @return whether a header concerns one connection only: by its name, or
/// because the message's Connection header lists it
bool IsHopByHopHeader(std::string_view name, const net::message_head& head);

/// @return the headers of a message that are passed on
std::vector<net::http_header> EndToEndHeaders(const net::message_head& head);

/// @return the parts of a list with commas, without spaces around them
std::vector<std::string_view> SplitCommaList(std::string_view text);

/// @return the path of a request's target, without its query
std::string_view PathWithoutQuery(std::string_view target);

/// @return a Host header without its port
std::string_view HostWithoutPort(std::string_view host);

/// @return the number that the whole text is, or nothing
template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number value{};
  const std::from_chars_result read =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (read.ec != std::errc() || read.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace wisteriadale::gateway
