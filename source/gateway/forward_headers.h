#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <vector>

#include "core/fleet/target_statements.h"
#include "core/limits/request_limit.h"
#include "core/ports/deployment_codec.h"
#include "net/http1_parser.h"

namespace wisteriadale::gateway {

// Helpers for the headers of requests and responses that are forwarded.

/// @return whether a header is hop-by-hop: by its name, or because the
/// Connection header of the message lists it
bool IsHopByHopHeader(std::string_view name, const net::message_head& head);

/// @return the headers of a message without the hop-by-hop ones
std::vector<net::http_header> EndToEndHeaders(const net::message_head& head);

/// @return the elements of a comma-separated list, without surrounding spaces
std::vector<std::string_view> SplitCommaList(std::string_view text);

/// @param name of the header that names a limit
/// @return what a response says about the request limit of its target
core::request_limit RequestLimitOf(const net::message_head& head,
                                   std::string_view name);

/// @return what a response says of the target that sent it, but for its limit
core::target_statement StatementOf(const net::message_head& head,
                                   const core::deployment_codec& codec);

/// @return whether the body is made of events; targets of streaming routes may
/// also respond with a plain body
bool IsEventStream(const net::message_head& head);

/// @return the path of a request target, without its query
std::string_view PathWithoutQuery(std::string_view target);

/// @return the value of a Host header without its port
std::string_view HostWithoutPort(std::string_view host);

/// @return the number, or nothing unless the whole text is one
template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number value{};
  const std::from_chars_result result =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (result.ec != std::errc() || result.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace wisteriadale::gateway
