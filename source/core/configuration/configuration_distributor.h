#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "core/configuration/configuration_holder.h"
#include "core/configuration/configuration_store.h"
#include "core/messages.h"

namespace wisteriadale::core {

/// Sends control messages to peer routers and to agents.
class control_network {
 public:
  virtual ~control_network() = default;
  /// A message to a router that is not connected is dropped.
  virtual void SendToRouter(std::string_view router,
                            const message& message) = 0;
  virtual void SendToAgent(std::string_view target, const message& message) = 0;
};

struct distribution_options {
  std::string name;         ///< of this router
  std::string data_centre;  ///< of this router
  uint32_t fan_out = 4;     ///< children of a router in the tree
  /// Number of routers in each data centre that poll the head row.
  uint32_t head_pollers = 2;
  common::duration poll_period = std::chrono::milliseconds(500);
  /// Time after which a starting router becomes ready even if the table or a
  /// peer has not responded.
  common::duration startup_timeout = std::chrono::seconds(3);
  /// Time that an agent may be behind before routers other than its primary
  /// push to it, and between two such pushes.
  common::duration agent_push_delay = std::chrono::milliseconds(500);
};

/// Distributes accepted configurations to all routers and agents. A router
/// pushes a new version down a tree of routers, whose order depends on the
/// version; each agent gets it from its primary router. Routers and agents that
/// missed a push are found by the versions in handshakes and pings. A few
/// routers in each data centre also poll the table.
class configuration_distributor {
 public:
  configuration_distributor(distribution_options options,
                            configuration_store& store,
                            configuration_holder& holder,
                            control_network& network,
                            common::timer_service& timers,
                            common::clock& clock);

  /// Reads the head row and starts polling.
  void Start();

  /// The VM list or the settings name a router other than this one.
  void OnRouterListed(std::string_view router, std::string_view data_centre);
  void OnRouterGone(std::string_view router);
  /// A channel to a peer is open and the peer's handshake arrived.
  void OnRouterConnected(std::string_view router, std::string_view data_centre,
                         uint64_t version);
  void OnRouterDisconnected(std::string_view router);
  /// A peer reported the version that it has in force.
  void OnRouterVersion(std::string_view router, uint64_t version);
  /// A peer sent a document, or requested one.
  void OnConfiguration(std::string_view router,
                       const configuration_message& message);

  /// An agent reported the version that it has in force.
  void OnAgentVersion(std::string_view target, uint64_t version);
  void OnAgentDisconnected(std::string_view target);

  /// A document that was applied through this router was accepted.
  void OnAccepted(const std::string& document, uint64_t version);

  /// @return whether the highest known version is in force, or waiting for it
  /// has timed out
  bool Ready() const { return ready_; }
  /// @return whether this router currently polls the head row
  bool IsHeadPoller() const;

 private:
  struct peer {
    std::string data_centre;
    bool connected = false;
    bool reported = false;  ///< its version, since this process started
    uint64_t version = 0;
    uint64_t requested = 0;  ///< highest version that was requested from it
    common::time_point requested_at;
  };
  struct agent {
    uint64_t version = 0;
    uint64_t pushed = 0;  ///< version that was last pushed to it
    common::time_point pushed_at;
  };
  /// How this router learnt of a version.
  enum class origin { kAccepted, kPolled, kPeer };

  /// Reads the head row (head pollers, and any router until it is ready) and
  /// requests newer documents from peers.
  void Poll();
  void OnHead(const std::optional<configuration_head>& head);
  /// Puts a version in force and pushes it to routers and agents, if it is
  /// newer.
  void Adopt(const std::string& document, uint64_t version, origin from);
  void RequestFromPeers();
  /// Requests the document from a peer that has a newer version.
  void MaybeRequest(const std::string& router, peer* source);
  void PushToRouters(origin from);
  void PushToAgents();
  void PushToAgent(const std::string& target, agent* to);
  void SendDocument(std::string_view router);
  /// Sends only the version; the peer requests the document if it lacks it.
  void SendVersion(std::string_view router);
  /// @return whether this router is the one that pushes to the agent first
  bool IsPrimaryFor(std::string_view target) const;
  void UpdateReady();
  /// @return names of the connected routers, including this one
  std::vector<std::string> LiveRouters(bool own_data_centre_only) const;

  distribution_options options_;
  configuration_store& store_;
  configuration_holder& holder_;
  control_network& network_;
  common::timer_service& timers_;
  common::clock& clock_;
  std::map<std::string, peer, std::less<>> peers_;    ///< by router
  std::map<std::string, agent, std::less<>> agents_;  ///< by target
  common::time_point started_;
  common::time_point changed_;  ///< when the version in force last changed
  uint64_t highest_known_ = 0;  ///< version, in force or not
  bool table_responded_ = false;
  bool reading_ = false;  ///< a read of the head row is in progress
  bool ready_ = false;
  std::string agent_document_;  ///< configuration in force, for agents
};

}  // namespace wisteriadale::core
