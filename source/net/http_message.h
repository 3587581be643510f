#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace wisteriadale::net {

/// One header line; names are lower case.
struct http_header {
  std::string name;
  std::string value;
};

/// A request as a server sees it, its body complete.
struct http_request {
  std::string method;
  std::string path;
  std::string query;  ///< without the question mark
  std::string peer;   ///< address of the caller
  std::vector<http_header> headers;
  std::string body;
  bool body_too_large = false;
  bool body_timed_out = false;   ///< it did not arrive within the bound
  bool length_missing = false;   ///< a body without a valid Content-Length
  bool header_too_long = false;  ///< a collected header was left out

  /// @param name lower-case header name, one of those that are collected
  /// @return the header's value, or an empty view
  std::string_view Header(std::string_view name) const;
  /// @return the value of a query argument, or an empty string
  std::string QueryArgument(std::string_view name) const;
};

}  // namespace wisteriadale::net
