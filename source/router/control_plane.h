#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/lease/lease_keeper.h"
#include "core/lease/order_controller.h"
#include "core/membership/membership.h"
#include "core/quarantine/quarantine.h"
#include "router/agent_links.h"
#include "router/configuration_service.h"
#include "router/peer_links.h"

namespace wisteriadale::router {

/// The objects and options that the control plane uses; the objects must
/// outlive it.
struct control_plane_dependencies {
  net::event_loop& loop;
  common::clock& clock;
  common::random_source& random;
  core::table& rows;
  core::object_store& objects;
  core::target_table& targets;
  agent_links& agents;
  core::hello_message hello;     ///< of this router
  common::duration poll_period;  ///< of the configuration
};

/// Connects the configuration, membership, leases, orders and quarantine of a
/// router with its channels to peer routers and agents.
class control_plane final : public core::control_network,
                            public core::member_observer,
                            public core::order_network,
                            public core::quarantine_network,
                            public peer_listener,
                            public agent_listener {
 public:
  explicit control_plane(const control_plane_dependencies& dependencies);

  void Start();
  /// Releases the leases before the process ends.
  void Stop();
  /// A VM list was read.
  void OnVmList(const std::vector<core::vm_entry>& entries);

  configuration_service& configuration() { return configuration_; }
  core::membership& members() { return members_; }
  core::order_controller& orders() { return orders_; }
  core::quarantine& quarantined_requests() { return blocked_; }
  /// Lifts the quarantine of a digest here, at peers and at agents.
  /// @return false when the digest is not quarantined
  bool LiftQuarantine(const std::string& digest);
  peer_links& peers() { return peers_; }
  /// Begins or ends the drain of a target through an order to its agent. Also
  /// writes the drain row that the agent reads when it starts, with retries
  /// while the platform is unavailable.
  /// @param operator_name stored in the drain row
  /// @param handler called once, when the order has ended
  void SetDrained(const std::string& target, bool drained,
                  const std::string& operator_name,
                  core::order_controller::state_handler handler);
  /// @return data centres whose controller lease this router holds
  std::vector<std::string> HeldLeases() const;

  void SendToRouter(std::string_view router,
                    const core::message& message) override;
  void SendToAgent(std::string_view target,
                   const core::message& message) override;

  void OnMemberAddress(const core::vm_entry& member) override;
  void OnLeavingChanged(const core::vm_entry& member, bool leaving) override;
  void OnMemberRemoved(const core::vm_entry& member) override;

  lease_status LeaseFor(std::string_view target) override;
  bool SendOrder(std::string_view target,
                 const core::order_message& order) override;
  bool ForwardOrder(std::string_view router,
                    const core::order_message& order) override;

  void BroadcastQuarantine(const core::quarantine_message& message) override;
  void SendQuarantine(std::string_view router,
                      const core::quarantine_message& message) override;

  void OnPeerOpen(const core::hello_message& hello) override;
  void OnPeerClosed(std::string_view router) override;
  void OnPeerMessage(std::string_view router,
                     const core::message& message) override;
  void OnAnnouncement(const core::vm_entry& entry) override;
  core::ping_message PeerPing() override;

  void OnAgentOpen(std::string_view target,
                   const core::hello_message& hello) override;
  void OnAgentClosed(std::string_view target) override;
  void OnAgentMessage(std::string_view target,
                      const core::message& message) override;

 private:
  /// Updates membership and leases; schedules itself.
  void Tick();
  /// Updates for each data centre with targets whether this router contends for
  /// its controller lease.
  void ContendForLeases();
  /// @return whether this router is among those that contend for the lease of
  /// a data centre
  bool ShouldContend(const std::string& data_centre) const;
  /// A peer router forwarded an order, as this router seemed to hold the lease.
  void OnForwardedOrder(std::string_view router,
                        const core::order_message& order);
  /// Writes the row that a target's agent reads at its start; retries in the
  /// background.
  void WriteDrainRow(const std::string& target, bool drained,
                     const std::string& operator_name, int tries_left);

  control_plane_dependencies dependencies_;
  core::membership members_;
  configuration_service configuration_;
  core::order_controller orders_;
  core::quarantine blocked_;  ///< digests of requests that crashed targets
  peer_links peers_;
  std::map<std::string, std::string> live_routers_;  ///< data centre by name
  /// By data centre.
  std::map<std::string, std::unique_ptr<core::lease_keeper>> leases_;
};

}  // namespace wisteriadale::router
