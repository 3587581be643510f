#include "net/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

#include "common/last_error.h"

namespace wisteriadale::net {

std::optional<endpoint> ParseEndpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  endpoint result;
  if (colon != std::string_view::npos && colon > 0) {
    result.address = text.substr(0, colon);
    const char* end = text.data() + text.size();
    const std::from_chars_result read =
        std::from_chars(text.data() + colon + 1, end, result.port);
    if (read.ec == std::errc() && read.ptr == end) return result;
  }
  common::SetLastError(common::result_code::kBadRequest,
                       "\"" + std::string(text) + "\" is not ip:port");
  return std::nullopt;
}

std::optional<endpoint> ParseNumericEndpoint(std::string_view text) {
  std::optional<endpoint> parsed = ParseEndpoint(text);
  if (!parsed) return std::nullopt;
  in_addr address{};
  if (parsed->port != 0 &&
      inet_pton(AF_INET, parsed->address.c_str(), &address) == 1) {
    return parsed;
  }
  common::SetLastError(common::result_code::kBadRequest,
                       "\"" + std::string(text) +
                           "\" is not a numeric IPv4 address with a port");
  return std::nullopt;
}

std::string FormatEndpoint(const endpoint& from) {
  return from.address + ":" + std::to_string(from.port);
}

}  // namespace wisteriadale::net
