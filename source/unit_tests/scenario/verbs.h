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
#include "unit_tests/scenario/tcp_relay.h"
#include "unit_tests/scenario/tcp_socket.h"

namespace wisteriadale::scenario {

/// An HTTP call that a script started.
struct started_call {
  std::shared_ptr<net::http_transfer> transfer;
  bool done = false;
  net::http_result result;
  std::string body;  ///< what has arrived so far
};

/// What a script has started. Everything ends with the object.
class scenario_state {
 public:
  /// @param binaries directory of the programs under test
  /// @param logs     directory for settings and log files of this run
  /// @return the state, or nothing with LastReason set
  static std::optional<std::unique_ptr<scenario_state>> Create(
      std::string binaries, std::string logs);

  /// Lets the loop run for a while.
  void Pump(common::duration time);

  std::string binaries;
  std::string logs;
  std::unique_ptr<net::event_loop> loop;
  std::unique_ptr<port_block> ports;
  common::system_clock clock;
  std::vector<std::unique_ptr<child_process>> children;
  std::vector<std::shared_ptr<started_call>> calls;
  std::vector<std::unique_ptr<tcp_relay>> relays;
  std::vector<std::unique_ptr<tcp_socket>> sockets;

 private:
  scenario_state() = default;
};

/// Adds the global table `runner` with the functions that scripts build on.
void RegisterVerbs(lua_State* state, scenario_state* scenario);

}  // namespace wisteriadale::scenario
