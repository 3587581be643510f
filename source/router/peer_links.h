#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "core/messages.h"
#include "core/ports/vm_list.h"
#include "net/channel.h"
#include "net/event_loop.h"

namespace wisteriadale::router {

/// Receives events and messages from peer routers, and announcements from
/// agents.
class peer_listener {
 public:
  virtual ~peer_listener() = default;
  virtual void OnPeerOpen(const core::hello_message& hello) = 0;
  virtual void OnPeerClosed(std::string_view router) = 0;
  virtual void OnPeerMessage(std::string_view router,
                             const core::message& message) = 0;
  /// An agent that no router has dialled announced its address.
  virtual void OnAnnouncement(const core::vm_entry& entry) = 0;
  /// @return the contents of this router's next ping to its peers
  virtual core::ping_message PeerPing() = 0;
};

/// Channels between routers: dials known routers, accepts channels from others,
/// keeps them alive with pings and replaces dead ones. One channel per pair of
/// routers is enough; a second one, opened at the same time, does no harm.
class peer_links {
 public:
  peer_links(net::event_loop& loop, common::clock& clock,
             core::hello_message hello, peer_listener& listener)
      : loop_(loop),
        clock_(clock),
        hello_(std::move(hello)),
        listener_(listener) {}

  /// Sets the address of a router, dials it and redials whenever there is no
  /// channel to it.
  void SetPeer(const std::string& name, const net::endpoint& address);
  /// Stops dialling a router; an open channel stays.
  void Remove(const std::string& name);
  /// Adds an address to dial whose router is not known by name yet.
  void AddSeed(const net::endpoint& address);
  /// Takes over a channel that another process opened.
  void Accept(std::shared_ptr<net::channel> channel);
  /// Sets the listen address that this router's hello messages carry.
  void SetListenAddress(const std::string& address, uint16_t port);
  /// Sends pings, closes dead channels and dials missing ones; schedules
  /// itself.
  void Tick();

  /// @return whether there was a channel to that router and the message was
  /// queued on it
  bool Send(std::string_view router, const core::message& message);

 private:
  using connection_id = uint64_t;
  struct connection {
    std::shared_ptr<net::channel> channel;
    std::string name;  ///< empty until the peer's hello arrived
    common::time_point last_received;
  };
  /// An address to dial and its latest dial.
  struct dial_state {
    net::endpoint address;
    bool dialling = false;
    /// Connection that the latest dial opened, 0 if it failed.
    connection_id opened = 0;
  };

  void Dial(dial_state* peer);
  void OnDialled(const net::endpoint& address,
                 std::shared_ptr<net::channel> channel);
  connection_id Open(std::shared_ptr<net::channel> channel);
  void OnFrame(connection_id id, std::string_view frame);
  void OnHello(connection_id id, const core::hello_message& hello);
  void OnClosed(connection_id id);
  void CloseConnection(connection_id id);
  void SendOn(const connection& link, const core::message& message);
  bool Connected(std::string_view name) const;

  net::event_loop& loop_;
  common::clock& clock_;
  core::hello_message hello_;
  peer_listener& listener_;
  std::map<std::string, dial_state, std::less<>> peers_;  ///< by name
  std::vector<dial_state> seeds_;
  std::map<connection_id, connection> connections_;
  connection_id next_id_ = 1;
  uint64_t ping_sequence_ = 0;
};

}  // namespace wisteriadale::router
