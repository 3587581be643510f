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

/// What the agent's control part is built from.
struct agent_control_dependencies {
  net::event_loop& loop;
  common::clock& clock;
  core::table& rows;
  core::vm_list& vms;
  core::attempt_scheduler& host;
  core::router_sender& routers;
  net::endpoint target;
  std::string name;
  std::string data_centre;
  bool target_checks_authority = false;
  /// Tells every router the load, at once.
  std::function<void()> broadcast_load;
};

/// Configuration, drains and orders of an agent.
class agent_control final : public core::order_target {
 public:
  explicit agent_control(const agent_control_dependencies& environment);

  /// Reads whether an operator drained the target before this start, and
  /// watches that a router dials.
  /// @param announcement hello that tells where the agent listens
  void Start(const core::hello_message& announcement);
  /// The process stops: no later message ends the drain.
  void Stop() { SetDrained("stop", true); }

  void OnHello(core::router_connection_id link,
               const core::hello_message& hello);
  void OnLinkClosed(core::router_connection_id link);
  void OnOrder(core::router_connection_id link,
               const core::order_message& order);
  void OnConfiguration(const core::configuration_message& message);

  /// @return version of the configuration in force, 0 before the first
  uint64_t configuration_version() const { return configuration_.version; }

  void Apply(const core::order_message& order, order_handler handler) override;
  void SetDrained(std::string_view reason, bool drained) override;

 private:
  void ReadDrainRow();
  void WatchRouters();
  void Announce(const std::vector<core::vm_entry>& entries);

  agent_control_dependencies environment_;
  core::fenced_order_queue gate_;
  core::drain_reasons reasons_;
  core::agent_configuration configuration_;
  core::hello_message announcement_;
  std::map<core::router_connection_id, std::string> routers_;
  std::vector<std::shared_ptr<net::channel>> announcements_;
};

}  // namespace wisteriadale::agent
