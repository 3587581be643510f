#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/agent/attempt_scheduler.h"
#include "core/agent/fenced_order_queue.h"
#include "core/configuration/configuration.h"
#include "core/membership/drain_reasons.h"
#include "core/ports/vm_list.h"
#include "net/channel.h"
#include "net/event_loop.h"

namespace wisteriadale::agent {

/// The objects and options that the agent's control part uses; the objects must
/// outlive it.
struct agent_control_dependencies {
  net::event_loop& loop;
  common::clock& clock;
  core::table& rows;
  core::vm_list& vms;
  core::attempt_scheduler& scheduler;
  core::router_sender& routers;
  net::endpoint target;
  std::string name;
  std::string data_centre;
  bool target_checks_authority = false;
  /// Sends the current load to every connected router at once.
  std::function<void()> broadcast_load;
};

/// Handles an agent's configuration, drains and orders, and announces the agent
/// to routers when none is connected.
class agent_control final : public core::order_target {
 public:
  explicit agent_control(const agent_control_dependencies& dependencies);

  /// Reads whether an operator drained the target before this start, and begins
  /// to check that a router is connected.
  /// @param announcement hello with the agent's listen address
  void Start(const core::hello_message& announcement);
  /// Drains for good, as the process stops; no later message ends this drain.
  void Stop() { SetDrained("stop", true); }

  void OnHello(core::router_connection_id link,
               const core::hello_message& hello);
  void OnLinkClosed(core::router_connection_id link);
  /// Refuses an order that no router sent or that is for another target; passes
  /// any other one on.
  void OnOrder(core::router_connection_id link,
               const core::order_message& order);
  void OnConfiguration(const core::configuration_message& message);

  /// @return version of the active configuration, 0 before the first
  uint64_t configuration_version() const { return configuration_.version; }

  void Apply(const core::order_message& order, order_handler handler) override;
  void SetDrained(std::string_view reason, bool drained) override;

 private:
  /// Drains when the row of an operator's drain says so; retries until it is
  /// read.
  void ReadDrainRow();
  /// Announces the agent when no router is connected; schedules itself.
  void CheckRouters();
  void Announce(const std::vector<core::vm_entry>& entries);

  agent_control_dependencies dependencies_;
  core::fenced_order_queue order_queue_;
  core::drain_reasons drain_reasons_;
  core::agent_configuration configuration_;
  core::hello_message announcement_;
  /// Names of the connected routers.
  std::map<core::router_connection_id, std::string> routers_;
  /// Kept open until the next check.
  std::vector<std::shared_ptr<net::channel>> announcement_channels_;
};

}  // namespace wisteriadale::agent
