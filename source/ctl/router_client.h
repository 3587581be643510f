#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ctl/exit_code.h"
#include "net/channel.h"
#include "net/event_loop.h"

/// The operators' command line.
namespace wisteriadale::ctl {

/// Routers, in the order in which they are tried, and credentials.
struct client_options {
  std::vector<net::endpoint> routers;
  std::string key;            ///< sent as a bearer token; empty: none
  std::string operator_name;  ///< recorded with each change
  common::duration timeout = std::chrono::seconds(10);  ///< of each call
};

/// A router's answer, or how the call failed.
struct router_answer {
  int status = 0;  ///< HTTP status; 0 when no router answered
  std::string body;
  std::string failure;  ///< why the answer did not come or is incomplete

  /// @return the exit code of the command that made the call
  exit_code ToExitCode() const;
};

/// Blocking client of the operators' HTTP interface of a router.
class router_client {
 public:
  /// @return the client, or nothing with LastError set when no router is given
  static std::optional<router_client> Create(client_options options);

  /// Tries the routers in order until one answers. A call other than GET is
  /// sent to one router only, since it may have been executed when no answer
  /// comes; the next router is tried only if the connection failed.
  /// @param path path and query
  /// @return the answer, or the failure of the last router tried
  router_answer Call(std::string_view method, std::string_view path,
                     std::string_view body = {});

  const std::string& operator_name() const { return options_.operator_name; }

 private:
  router_client() = default;
  router_answer CallOne(const net::endpoint& to, std::string_view method,
                        std::string_view path, std::string_view body);

  client_options options_;
};

/// Parses a comma-separated list of `address:port`.
/// @return the endpoints, or nothing with LastError set
std::optional<std::vector<net::endpoint>> ParseEndpoints(std::string_view text);

}  // namespace wisteriadale::ctl
