#pragma once

#include <lua.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/clock.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "unit_tests/scenario/child_process.h"
#include "unit_tests/scenario/port_block.h"
#include "unit_tests/scenario/tcp_acceptor.h"
#include "unit_tests/scenario/tcp_relay.h"
#include "unit_tests/scenario/tcp_socket.h"

namespace wisteriadale::scenario {

/// State of an HTTP request that a script started.
struct http_request_state {
  std::shared_ptr<net::http_transfer> transfer;
  bool done = false;
  net::http_result result;
  std::string body;  ///< received so far
};

/// Resources of a running script: processes, requests, relays and sockets. They
/// are released with the object.
class scenario_state {
 public:
  /// @param binaries directory of the programs under test
  /// @param logs     directory for settings and log files of this run
  /// @return the state, or nothing with LastError set
  static std::optional<std::unique_ptr<scenario_state>> Create(
      std::string binaries, std::string logs);

  /// Runs the event loop for the given time.
  void Pump(common::duration time);

  std::string binaries;
  std::string logs;
  std::unique_ptr<net::event_loop> loop;
  std::unique_ptr<port_block> ports;
  common::system_clock clock;
  std::vector<std::unique_ptr<child_process>> children;
  std::vector<std::shared_ptr<http_request_state>> calls;
  std::vector<std::unique_ptr<tcp_relay>> relays;
  std::vector<std::unique_ptr<tcp_socket>> sockets;
  std::vector<std::unique_ptr<tcp_acceptor>> acceptors;

 private:
  scenario_state() = default;
};

/// Registers the global table `runner` with the functions that scenarios call.
void RegisterLuaBindings(lua_State* state, scenario_state* scenario);

}  // namespace wisteriadale::scenario
