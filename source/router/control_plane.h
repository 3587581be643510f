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

/// What the control plane is built from.
struct control_plane_dependencies {
  net::event_loop& loop;
  common::clock& clock;
  common::random_source& random;
  core::table& rows;
  core::object_store& objects;
  core::target_table& targets;
  agent_links& agents;
  core::hello_message hello;  ///< of this router
  common::duration poll_period;
};

/// Connects configuration, membership, leases and orders of a router with its
/// channels to peers and agents.
class control_plane final : public core::control_network,
                            public core::member_observer,
                            public core::order_network,
                            public core::quarantine_network,
                            public peer_listener,
                            public agent_listener {
 public:
  explicit control_plane(const control_plane_dependencies& environment);

  void Start();
  /// Gives leases up before the process ends.
  void Stop();
  void OnVmList(const std::vector<core::vm_entry>& entries);

  configuration_service& configuration() { return watch_; }
  core::membership& members() { return members_; }
  core::order_controller& orders() { return orders_; }
  core::quarantine& quarantined_requests() { return blocked_; }
  /// Lifts the quarantine of a digest here, at peers and at agents.
  /// @return false when the digest is not quarantined
  bool LiftQuarantine(const std::string& digest);
  peer_links& peers() { return peers_; }
  /// Drains a target, or ends the drain, through its agent; the row that the
  /// agent reads when it starts is written as soon as the platform allows.
  void SetDrained(const std::string& target, bool drained,
                  const std::string& who,
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
  void Tick();
  void ContendForLeases();
  bool ShouldContend(const std::string& data_centre) const;
  void OnForwardedOrder(std::string_view router,
                        const core::order_message& order);
  void WriteDrainRow(const std::string& target, bool drained,
                     const std::string& who, int tries);

  control_plane_dependencies environment_;
  core::membership members_;
  configuration_service watch_;
  core::order_controller orders_;
  core::quarantine blocked_;
  peer_links peers_;
  std::map<std::string, std::string> live_routers_;  ///< to data centre
  std::map<std::string, std::unique_ptr<core::lease_keeper>> leases_;
};

}  // namespace wisteriadale::router
