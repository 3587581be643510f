#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriadale::net {

/// An IP address and port that a process listens on.
struct endpoint {
  std::string address;
  uint16_t port = 0;
  bool operator==(const endpoint&) const = default;
};

/// @param text "ip:port"
/// @return the endpoint, or nothing with LastError set
std::optional<endpoint> ParseEndpoint(std::string_view text);

/// @param text numeric IPv4 address and a port other than 0: "10.0.0.1:80"
/// @return the endpoint, or nothing with LastError set
std::optional<endpoint> ParseNumericEndpoint(std::string_view text);

/// @return "ip:port"
std::string FormatEndpoint(const endpoint& from);

}  // namespace wisteriadale::net
