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

/// The full mesh of links between gateways. Each gateway dials every address
/// that it knows, and announces the known addresses in its hello.
class gateway_links {
 public:
  /// @param name        of this gateway, unique among all gateways
  /// @param own_address where this process accepts links
  /// @param incarnation differs after each start of the process
  /// @param capacity    of this VM, in any unit that all gateways share
  gateway_links(net::event_loop& loop, common::clock& clock, std::string name,
                const net::endpoint& own_address, uint64_t incarnation,
                double capacity, std::string data_centre);
  ~gateway_links();
  gateway_links(const gateway_links&) = delete;
  gateway_links& operator=(const gateway_links&) = delete;

  /// Adds an address at which another gateway may listen; ignored if invalid.
  /// @param address "ip:port", numeric: a name would have to be resolved, and
  /// other writers may leave rows among those of the gateways
  void AddAddress(const std::string& address);
  /// Adds a link that another gateway opened.
  void Accept(const std::shared_ptr<net::channel>& channel);
  /// Starts dialling, and pinging open links.
  void Start() {
    started_at_ = clock_.Now();
    Tick();
  }
  /// Closes all links.
  void Stop();
  /// Tells the other gateways that this one owns no queue from now on.
  void AnnounceShutdown();

  /// @return whether the gateway has an open link, on which the message was
  /// queued
  bool Send(std::string_view gateway, const core::gateway_message& message);
  /// Sends a message to each linked gateway once.
  void Broadcast(const core::gateway_message& message);
  /// Sends a message to each linked gateway of this one's data centre once.
  void BroadcastToDataCentre(const core::gateway_message& message);

  /// @param handler called with each message that the links don't handle
  /// themselves
  void SetMessageHandler(std::function<void(const std::string& gateway,
                                            const core::gateway_message&)>
                             handler) {
    on_message_ = std::move(handler);
  }
  /// @param handler called when a gateway's first link opens
  void SetJoinedHandler(std::function<void(const std::string&)> handler) {
    on_joined_ = std::move(handler);
  }
  /// @param handler called when a gateway's last link is lost
  void SetLostHandler(std::function<void(const std::string&)> handler) {
    on_lost_ = std::move(handler);
  }

  /// @return gateways that may own queues: those with an open link and this
  /// one, without those that are stopping; never empty
  std::vector<core::owner_candidate> OwnerCandidates() const;
  /// @return those of this gateway's data centre
  std::vector<core::owner_candidate> DataCentreCandidates() const;
  /// @return capacity of a gateway's VM, 0 if there is no open link to it
  double CapacityOf(std::string_view gateway) const;
  /// @return number of gateways, this one included, that are linked and choose
  /// owners among the same gateways as this one
  size_t AgreeingGatewayCount() const;
  /// @return number of gateways with an open link
  size_t LinkedGatewayCount() const;
  /// @return number of gateways linked within the last minute, plus this one
  size_t RecentGatewayCount() const;
  /// @return number of gateways that may be running, this one included: those
  /// linked within the last minute, and in the first minute after a start those
  /// whose address is known
  size_t ExpectedGatewayCount() const;
  /// @return bytes that are queued on all links and not yet written
  size_t PendingBytes() const;

 private:
  struct link {
    std::shared_ptr<net::channel> channel;
    core::link_monitor monitor;
    std::string gateway;  ///< name; empty before the hello
    std::string dialled;  ///< address; empty if the other end dialled
    uint64_t incarnation = 0;
    bool open = true;
    bool stopping = false;  ///< it announced its shutdown
    double capacity = 0;
    bool slow = false;  ///< it reported a high event-loop lag
    std::string data_centre;
  };
  /// Whether a link is meant.
  using link_filter = std::function<bool(const link&)>;

  /// Pings links, removes those that timed out, and dials missing ones.
  void Tick();
  /// Measures the event-loop lag, and tells the other gateways when this
  /// process becomes slow and when it recovers.
  void MonitorLag(common::time_point now);
  void Dial(const std::string& address);
  void AddLink(const std::shared_ptr<net::channel>& channel,
               const std::string& dialled);
  void OnFrame(const std::shared_ptr<link>& from, std::string_view frame);
  void OnHello(const std::shared_ptr<link>& from,
               const core::gateway_hello& hello);
  /// @param why logged if it was the gateway's last link
  void RemoveLink(const std::shared_ptr<link>& lost, std::string_view why);
  /// Tells the other gateways among which ones this one chooses owners, if that
  /// has changed.
  void AnnounceView();
  bool InDataCentre(const link& each) const {
    return !data_centre_.empty() && each.data_centre == data_centre_;
  }
  std::vector<core::owner_candidate> Candidates(const link_filter& meant) const;
  void SendToEach(const core::gateway_message& message,
                  const link_filter& meant);
  core::gateway_hello MakeHello() const;
  static void SendTo(link* to, const core::gateway_message& message);

  net::event_loop& loop_;
  common::clock& clock_;
  std::string name_;
  std::string own_address_;
  uint64_t incarnation_;
  double capacity_;
  std::string data_centre_;
  uint64_t ping_sequence_ = 0;
  std::set<std::string> addresses_;
  std::set<std::string> dialling_addresses_;
  /// Back-off of one address.
  struct dial_state {
    uint32_t failures = 0;      ///< consecutive
    common::time_point next{};  ///< earliest time of the next dial
  };
  std::map<std::string, dial_state> dial_states_;  ///< by address
  std::vector<std::shared_ptr<link>> links_;
  /// When each gateway last had an open link.
  std::map<std::string, common::time_point, std::less<>> last_seen_;
  /// View digests that linked gateways announced.
  std::map<std::string, uint64_t, std::less<>> views_;
  uint64_t announced_view_ = 0;
  common::timer_id timer_ = 0;
  core::lag_monitor lag_monitor_{core::lag_monitor_options()};
  common::time_point started_at_{};
  common::time_point last_tick_{};
  bool stopping_ = false;
  std::function<void(const std::string&, const core::gateway_message&)>
      on_message_;
  std::function<void(const std::string&)> on_joined_;
  std::function<void(const std::string&)> on_lost_;
};

}  // namespace wisteriadale::gateway
