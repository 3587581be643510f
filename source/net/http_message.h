#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace wisteriadale::net {

/// @return whether a response may have that status: others are malformed
constexpr bool IsValidStatus(int status) {
  return status >= 100 && status <= 599;
}

/// One header field. Names are lower case, except in message_head, which keeps
/// them as received.
struct http_header {
  std::string name;
  std::string value;
};

/// A request that http_server received. Its body is complete unless a flag
/// says otherwise.
struct http_request {
  std::string method;
  std::string path;
  std::string query;  ///< without the question mark
  std::string peer;   ///< address of the caller
  std::vector<http_header> headers;
  std::string body;
  bool body_too_large = false;
  bool body_timed_out = false;   ///< the body did not arrive in time
  bool length_missing = false;   ///< a body without a valid Content-Length
  bool header_too_long = false;  ///< a collected header was omitted
  bool refused_by_head = false;  ///< its body was not waited for
  bool no_room = false;          ///< the process holds too much for others

  /// @return whether all of its body is there
  bool HasWholeBody() const {
    return !body_too_large && !body_timed_out && !refused_by_head && !no_room;
  }
  /// @param name lower-case header name, one of those that are collected
  /// @return the header's value, or an empty view
  std::string_view Header(std::string_view name) const;
  /// @return the value of a query argument, or an empty string
  std::string QueryArgument(std::string_view name) const;
};

}  // namespace wisteriadale::net
