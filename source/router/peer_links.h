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

/// Takes what peer routers, and agents that announce themselves, say.
class peer_listener {
 public:
  virtual ~peer_listener() = default;
  virtual void OnPeerOpen(const core::hello_message& hello) = 0;
  virtual void OnPeerClosed(std::string_view router) = 0;
  virtual void OnPeerMessage(std::string_view router,
                             const core::message& message) = 0;
  /// An agent that no router has dialled told where it listens.
  virtual void OnAnnouncement(const core::vm_entry& entry) = 0;
  /// @return what this router's pings carry now
  virtual core::ping_message PeerPing() = 0;
};

/// Channels between routers: dials the listed ones, accepts others, keeps them
/// alive and replaces silent ones. One channel for a pair is enough; a second
/// one, opened at the same moment, does no harm.
class peer_links {
 public:
  peer_links(net::event_loop& loop, common::clock& clock,
             core::hello_message hello, peer_listener& listener)
      : loop_(loop),
        clock_(clock),
        hello_(std::move(hello)),
        listener_(listener) {}

  /// Dials a router by name from now on.
  void SetPeer(const std::string& name, const net::endpoint& address);
  void Forget(const std::string& name);
  /// Dials an address whose router is not known by name.
  void AddSeed(const net::endpoint& address);
  /// Takes a channel that another process dialled.
  void Accept(std::shared_ptr<net::channel> channel);
  /// Where this router listens, for its hello.
  void SetListenAddress(const std::string& address, uint16_t port);
  /// Sends pings, dials and finds silent channels; schedules itself.
  void Tick();

  /// @return whether there is a channel to that router
  bool Send(std::string_view router, const core::message& message);

 private:
  using connection_id = uint64_t;
  struct connection {
    std::shared_ptr<net::channel> channel;
    std::string name;  ///< empty until the peer said hello
    common::time_point last_heard;
  };
  struct dial_target {
    net::endpoint address;
    bool dialling = false;
    connection_id opened = 0;
  };

  void Dial(dial_target* target);
  void OnDialled(const net::endpoint& address,
                 std::shared_ptr<net::channel> channel);
  connection_id Open(std::shared_ptr<net::channel> channel);
  void OnFrame(connection_id id, std::string_view frame);
  void OnHello(connection_id id, const core::hello_message& hello);
  void OnClosed(connection_id id);
  void Drop(connection_id id);
  void SendOn(const connection& link, const core::message& message);
  bool Connected(std::string_view name) const;

  net::event_loop& loop_;
  common::clock& clock_;
  core::hello_message hello_;
  peer_listener& listener_;
  std::map<std::string, dial_target, std::less<>> peers_;
  std::vector<dial_target> seeds_;
  std::map<connection_id, connection> connections_;
  connection_id next_id_ = 1;
  uint64_t sequence_ = 0;
};

}  // namespace wisteriadale::router
