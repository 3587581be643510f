#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "core/fleet/gateway_messages.h"
#include "core/fleet/lag_monitor.h"
#include "core/fleet/queue_owner.h"
#include "core/membership/link_monitor.h"
#include "net/channel.h"
#include "net/event_loop.h"

namespace wisteriadale::gateway {

/// Links to the other gateways. Each gateway dials all that it knows of; what
/// one knows, it tells the others.
class gateway_links {
 public:
  /// @param capacity of this VM, in any unit that all gateways share
  gateway_links(net::event_loop& loop, common::clock& clock, std::string name,
                const net::endpoint& own_address, uint64_t incarnation,
                double capacity);
  ~gateway_links();
  gateway_links(const gateway_links&) = delete;
  gateway_links& operator=(const gateway_links&) = delete;

  /// Another gateway may listen here.
  /// @param address "ip:port"
  void AddAddress(const std::string& address);
  /// Takes a link that another gateway opened.
  void Accept(const std::shared_ptr<net::channel>& channel);
  /// Begins to dial.
  void Start() { Tick(); }
  void Stop();
  /// Tells the others that this gateway owns no queue any more.
  void AnnounceShutdown();

  /// @return whether the gateway has an open link and the message was queued
  bool Send(std::string_view gateway, const core::gateway_message& message);
  void Broadcast(const core::gateway_message& message);

  void SetMessageHandler(std::function<void(const std::string& gateway,
                                            const core::gateway_message&)>
                             handler) {
    on_message_ = std::move(handler);
  }
  /// @param handler called when a gateway's first link opens
  void SetJoinedHandler(std::function<void(const std::string&)> handler) {
    on_joined_ = std::move(handler);
  }
  /// @param handler called when a gateway's last link is gone
  void SetLostHandler(std::function<void(const std::string&)> handler) {
    on_lost_ = std::move(handler);
  }

  /// @return the gateways with an open link and this one, unless they are
  /// stopping; never empty
  std::vector<core::owner_candidate> OwnerCandidates() const;
  /// @return gateways with an open link
  size_t LinkedGatewayCount() const;
  /// @return gateways that were linked within the last minute, and this one
  size_t RecentGatewayCount() const;

 private:
  struct link {
    std::shared_ptr<net::channel> channel;
    core::link_monitor monitor;
    std::string gateway;  ///< empty before the hello
    std::string dialled;  ///< address; empty when the other end dialled
    uint64_t incarnation = 0;
    bool open = true;
    bool stopping = false;
    double capacity = 0;
    bool slow = false;
  };

  void Tick();
  /// Tells the others when this process turns slow, and when it recovers.
  void WatchLag(common::time_point now);
  void Dial(const std::string& address);
  void Adopt(const std::shared_ptr<net::channel>& channel,
             const std::string& dialled);
  void OnFrame(const std::shared_ptr<link>& from, std::string_view frame);
  void OnHello(const std::shared_ptr<link>& from,
               const core::gateway_hello& hello);
  void Drop(const std::shared_ptr<link>& lost, std::string_view why);
  core::gateway_hello Hello() const;
  static void SendOn(link* to, const core::gateway_message& message);

  net::event_loop& loop_;
  common::clock& clock_;
  std::string name_;
  std::string own_address_;
  uint64_t incarnation_;
  double capacity_;
  uint64_t pings_ = 0;
  std::set<std::string> addresses_;
  std::set<std::string> dialling_;
  /// Failed dials in a row and when to dial again, by address.
  struct dial_state {
    uint32_t failures = 0;
    common::time_point next{};
  };
  std::map<std::string, dial_state> dials_;
  std::vector<std::shared_ptr<link>> links_;
  std::map<std::string, common::time_point, std::less<>> seen_;
  common::timer_id timer_ = 0;
  core::lag_monitor lag_{core::lag_monitor_options()};
  common::time_point ticked_{};
  bool stopping_ = false;
  std::function<void(const std::string&, const core::gateway_message&)>
      on_message_;
  std::function<void(const std::string&)> on_joined_;
  std::function<void(const std::string&)> on_lost_;
};

}  // namespace wisteriadale::gateway
