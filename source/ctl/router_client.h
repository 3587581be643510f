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

/// Routers that are asked in turn, and the key that is shown to them.
struct client_options {
  std::vector<net::endpoint> routers;
  std::string key;
  std::string operator_name;  ///< recorded with each change
  common::duration timeout = std::chrono::seconds(10);
};

/// An answer of a router.
struct router_answer {
  int status = 0;  ///< HTTP status; 0 when no router answered
  std::string body;
  std::string failure;

  /// @return how the command that made the call ends
  exit_code ToExitCode() const;
};

/// Calls the operators' interface of a router and waits for the answer.
class router_client {
 public:
  /// @return the client, or nothing with LastReason set
  static std::optional<router_client> Create(client_options options);

  /// Asks the routers in turn until one answers. A change is offered to one
  /// router only, since its fate is unknown when no answer comes.
  router_answer Call(std::string_view method, std::string_view path,
                     std::string_view body = {});

  const std::string& operator_name() const { return options_.operator_name; }

 private:
  router_client() = default;
  router_answer CallOne(const net::endpoint& to, std::string_view method,
                        std::string_view path, std::string_view body);

  client_options options_;
};

/// Reads `address:port,address:port`.
/// @return the endpoints, or nothing with LastReason set
std::optional<std::vector<net::endpoint>> ParseEndpoints(std::string_view text);

}  // namespace wisteriadale::ctl
