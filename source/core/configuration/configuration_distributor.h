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
  /// Messages to a router without a connection are dropped.
  virtual void SendToRouter(std::string_view router,
                            const message& message) = 0;
  virtual void SendToAgent(std::string_view target, const message& message) = 0;
};

/// How a router spreads configurations.
struct distribution_options {
  std::string name;  ///< of this router
  std::string data_centre;
  uint32_t fan_out = 4;       ///< children of a router in the tree
  uint32_t head_pollers = 2;  ///< routers per data centre that poll the head
  common::duration poll_period = std::chrono::milliseconds(500);
  /// How long a starting router waits for the table and its peers.
  common::duration start_wait = std::chrono::seconds(3);
  /// How long an agent may lag before any router pushes to it.
  common::duration agent_lag = std::chrono::milliseconds(500);
};

/// Brings an accepted configuration to every process: down a tree of routers in
/// rendezvous order, from there to agents, and by versions in pings to whoever
/// missed it. A few routers per data centre poll the table.
class configuration_distributor {
 public:
  configuration_distributor(distribution_options options,
                            configuration_store& store,
                            configuration_holder& holder,
                            control_network& network,
                            common::timer_service& timers,
                            common::clock& clock);

  /// Reads the head for the first time and begins to poll.
  void Start();

  /// The routers that the VM list or the settings name, without this one.
  void OnRouterListed(std::string_view router, std::string_view data_centre);
  void OnRouterGone(std::string_view router);
  /// A channel to a peer opened and the peer said hello.
  void OnRouterConnected(std::string_view router, std::string_view data_centre,
                         uint64_t version);
  void OnRouterDisconnected(std::string_view router);
  /// A peer told its version, in a ping.
  void OnRouterVersion(std::string_view router, uint64_t version);
  /// A document, or the request for one, arrived.
  void OnConfiguration(std::string_view router,
                       const configuration_message& message);

  void OnAgentVersion(std::string_view target, uint64_t version);
  void OnAgentDisconnected(std::string_view target);

  /// An apply of this router was accepted.
  void OnAccepted(const std::string& document, uint64_t version);

  /// @return whether the highest version that can be learnt is in force
  bool Ready() const { return ready_; }
  /// @return whether this router polls the head now
  bool IsHeadPoller() const;

 private:
  struct peer {
    std::string data_centre;
    bool connected = false;
    bool heard = false;  ///< told its version since this process started
    uint64_t version = 0;
    uint64_t asked = 0;  ///< version that it was asked for
    common::time_point asked_at;
  };
  struct agent {
    uint64_t version = 0;
    uint64_t pushed = 0;
    common::time_point pushed_at;
  };
  enum class origin { kAccepted, kPolled, kPeer };

  void Tick();
  void OnHead(const std::optional<configuration_head>& head);
  void Adopt(const std::string& document, uint64_t version, origin from);
  void AskPeers();
  void Ask(const std::string& router, peer* asked);
  void PushToRouters(origin from);
  void PushToAgents();
  void PushToAgent(const std::string& target, agent* to);
  void SendDocument(std::string_view router);
  void Announce(std::string_view router);
  bool IsFeederOf(std::string_view target) const;
  void CheckReady();
  std::vector<std::string> LiveRouters(bool own_data_centre_only) const;

  distribution_options options_;
  configuration_store& store_;
  configuration_holder& holder_;
  control_network& network_;
  common::timer_service& timers_;
  common::clock& clock_;
  std::map<std::string, peer, std::less<>> peers_;
  std::map<std::string, agent, std::less<>> agents_;
  common::time_point started_;
  common::time_point changed_;
  uint64_t highest_heard_ = 0;
  bool table_answered_ = false;
  bool reading_ = false;
  bool ready_ = false;
  std::string agent_part_;
};

}  // namespace wisteriadale::core
