#include "gateway/gateway_links.h"

#include <algorithm>

#include "common/event_log.h"
#include "common/last_error.h"
#include "common/metrics.h"
#include "net/endpoint.h"
#include "wire/gateway_codec.h"

namespace wisteriadale::gateway {
namespace {

using common::log_event;

// Also the resolution at which event-loop lag is measured.
constexpr common::duration kTickPeriod = std::chrono::milliseconds(100);
// The delay doubles with each failed dial of an address, up to 3.2 s.
constexpr common::duration kInitialRedialDelay = std::chrono::milliseconds(200);
constexpr uint32_t kMaxRedialDoublings = 4;
// Lag from which one late tick is logged. Shorter lags are smoothed by the lag
// monitor.
constexpr common::duration kStallLimit = std::chrono::milliseconds(500);
// A gateway counts as sharing the retry budgets until it has been without a
// link for this long.
constexpr common::duration kRecent = std::chrono::minutes(1);

core::link_monitor_options LinkMonitorOptions() {
  core::link_monitor_options options;
  options.idle_ping_period = std::chrono::milliseconds(500);
  return options;
}

}  // namespace

gateway_links::gateway_links(net::event_loop& loop, common::clock& clock,
                             std::string name, const net::endpoint& own_address,
                             uint64_t incarnation, double capacity,
                             std::string data_centre)
    : loop_(loop),
      clock_(clock),
      name_(std::move(name)),
      own_address_(net::FormatEndpoint(own_address)),
      incarnation_(incarnation),
      capacity_(capacity),
      data_centre_(std::move(data_centre)) {}

gateway_links::~gateway_links() { Stop(); }

void gateway_links::Stop() {
  loop_.Cancel(timer_);
  timer_ = 0;
  for (const std::shared_ptr<link>& each : links_) {
    if (each->open) each->channel->Close();
    each->open = false;
  }
  links_.clear();
}

void gateway_links::AddAddress(const std::string& address) {
  if (address == own_address_ || !net::ParseNumericEndpoint(address)) return;
  addresses_.insert(address);
}

core::gateway_hello gateway_links::MakeHello() const {
  return {name_,
          incarnation_,
          own_address_,
          std::vector<std::string>(addresses_.begin(), addresses_.end()),
          capacity_,
          data_centre_};
}

void gateway_links::Tick() {
  const common::time_point now = clock_.Now();
  MonitorLag(now);
  const std::vector<std::shared_ptr<link>> links = links_;
  for (const std::shared_ptr<link>& each : links) {
    if (!each->open) continue;
    if (each->monitor.TimedOut(now)) {
      each->channel->Close();
      RemoveLink(each, "ping timed out");
      continue;
    }
    if (each->monitor.StartPingIfDue(now, false)) {
      SendTo(each.get(), core::gateway_ping{++ping_sequence_, false});
    }
    if (!each->gateway.empty()) last_seen_[each->gateway] = now;
  }
  for (const std::string& address : addresses_) {
    const bool linked = std::any_of(links_.begin(), links_.end(),
                                    [&](const std::shared_ptr<link>& each) {
                                      return each->dialled == address;
                                    });
    if (linked || dialling_addresses_.contains(address)) continue;
    if (dial_states_[address].next <= now) Dial(address);
  }
  AnnounceView();
  timer_ = loop_.Schedule(kTickPeriod, [this] { Tick(); });
}

void gateway_links::AnnounceView() {
  const uint64_t digest = core::ViewDigest(OwnerCandidates());
  if (digest == announced_view_) return;
  announced_view_ = digest;
  Broadcast(core::gateway_view{digest});
}

size_t gateway_links::AgreeingGatewayCount() const {
  const uint64_t own = core::ViewDigest(OwnerCandidates());
  return 1 + static_cast<size_t>(std::count_if(
                 views_.begin(), views_.end(),
                 [own](const auto& each) { return each.second == own; }));
}

void gateway_links::MonitorLag(common::time_point now) {
  const common::time_point due = last_tick_ + kTickPeriod;
  const bool first = last_tick_ == common::time_point();
  last_tick_ = now;
  if (first) return;
  const common::duration lag = std::max(now - due, common::duration(0));
  if (lag >= kStallLimit) {
    common::Metrics().Count("wisteria_loop_stalls_total");
    common::LogEvent(
        log_event::kLoopStalled, "",
        {{"lag_ms", common::ToMillis(lag)},
         {"link_bytes_pending", static_cast<int64_t>(PendingBytes())}});
  }
  if (!lag_monitor_.OnTick(lag, now)) return;
  common::LogEvent(log_event::kSpeedChanged, "",
                   {{"slow", lag_monitor_.slow()},
                    {"lag_ms", common::ToMillis(lag_monitor_.lag())}});
  Broadcast(core::gateway_slow_state{lag_monitor_.slow()});
}

void gateway_links::Dial(const std::string& address) {
  dialling_addresses_.insert(address);
  net::DialChannel(
      loop_, *net::ParseEndpoint(address),
      [this, address](const std::shared_ptr<net::channel>& channel) {
        dialling_addresses_.erase(address);
        dial_state& state = dial_states_[address];
        if (!channel) {
          const uint32_t doublings =
              std::min(state.failures, kMaxRedialDoublings);
          state.failures += 1;
          state.next = clock_.Now() + kInitialRedialDelay * (1 << doublings);
          return;
        }
        state.failures = 0;
        state.next = clock_.Now() + kInitialRedialDelay;
        AddLink(channel, address);
      });
}

void gateway_links::Accept(const std::shared_ptr<net::channel>& channel) {
  AddLink(channel, "");
}

void gateway_links::AddLink(const std::shared_ptr<net::channel>& channel,
                            const std::string& dialled) {
  const std::shared_ptr<link> added = std::make_shared<link>(link{
      channel, core::link_monitor(LinkMonitorOptions()), "", dialled, 0, true});
  added->monitor.OnOpened(clock_.Now());
  links_.push_back(added);
  const std::weak_ptr<link> weak = added;
  channel->SetMessageHandler([this, weak](std::string_view frame) {
    const std::shared_ptr<link> from = weak.lock();
    if (from && from->open) OnFrame(from, frame);
  });
  channel->SetClosedHandler([this, weak] {
    const std::shared_ptr<link> from = weak.lock();
    if (from && from->open) RemoveLink(from, "closed");
  });
  SendTo(added.get(), MakeHello());
  if (lag_monitor_.slow()) SendTo(added.get(), core::gateway_slow_state{true});
}

void gateway_links::SendTo(link* to, const core::gateway_message& message) {
  to->channel->Send(wire::EncodeGatewayMessage(message));
}

void gateway_links::OnFrame(const std::shared_ptr<link>& from,
                            std::string_view frame) {
  from->monitor.OnReceived();
  const std::optional<core::gateway_message> message =
      wire::DecodeGatewayMessage(frame);
  if (!message) {
    from->channel->Close();
    RemoveLink(from, "sent a malformed frame: " + common::LastError().text);
    return;
  }
  if (const core::gateway_ping* ping =
          std::get_if<core::gateway_ping>(&*message)) {
    if (ping->answer) {
      from->monitor.OnPong();
    } else {
      SendTo(from.get(), core::gateway_ping{ping->sequence, true});
    }
    return;
  }
  if (std::holds_alternative<core::gateway_shutdown_notice>(*message)) {
    for (const std::shared_ptr<link>& each : links_) {
      if (each->gateway == from->gateway) {
        each->stopping = true;
      }
    }
    AnnounceView();
    return;
  }
  if (const core::gateway_slow_state* speed =
          std::get_if<core::gateway_slow_state>(&*message)) {
    for (const std::shared_ptr<link>& each : links_) {
      if (each->gateway == from->gateway) each->slow = speed->slow;
    }
    AnnounceView();
    return;
  }
  if (const core::gateway_view* view =
          std::get_if<core::gateway_view>(&*message)) {
    if (!from->gateway.empty()) views_[from->gateway] = view->digest;
    return;
  }
  if (const core::gateway_hello* hello =
          std::get_if<core::gateway_hello>(&*message)) {
    OnHello(from, *hello);
    return;
  }
  if (from->gateway.empty() || !on_message_) return;
  on_message_(from->gateway, *message);
}

void gateway_links::OnHello(const std::shared_ptr<link>& from,
                            const core::gateway_hello& hello) {
  if (hello.name == name_) {
    from->channel->Close();
    RemoveLink(from, "connects to this process itself");
    return;
  }
  // The state of an earlier start of the gateway is lost: it is reported as
  // lost before the new start joins.
  const std::vector<std::shared_ptr<link>> links = links_;
  for (const std::shared_ptr<link>& each : links) {
    if (each == from || !each->open || each->gateway != hello.name ||
        each->incarnation == hello.incarnation) {
      continue;
    }
    each->channel->Close();
    RemoveLink(each, "belongs to an earlier start of the gateway");
  }
  const bool joined = std::none_of(
      links_.begin(), links_.end(), [&](const std::shared_ptr<link>& each) {
        return each->gateway == hello.name && each->open;
      });
  from->gateway = hello.name;
  from->incarnation = hello.incarnation;
  from->capacity = hello.capacity;
  from->data_centre = hello.data_centre;
  AddAddress(hello.address);
  for (const std::string& address : hello.known_addresses) AddAddress(address);
  last_seen_[hello.name] = clock_.Now();
  if (!joined) return;
  common::LogEvent(log_event::kGatewayLinked, "",
                   {{"gateway", hello.name}, {"address", hello.address}});
  AnnounceView();
  SendTo(from.get(), core::gateway_view{announced_view_});
  if (on_joined_) on_joined_(hello.name);
}

void gateway_links::RemoveLink(const std::shared_ptr<link>& lost,
                               std::string_view why) {
  lost->open = false;
  std::erase(links_, lost);
  if (lost->gateway.empty()) return;
  common::Metrics().Count("wisteria_gateway_links_lost_total");
  const bool last = std::none_of(links_.begin(), links_.end(),
                                 [&](const std::shared_ptr<link>& each) {
                                   return each->gateway == lost->gateway;
                                 });
  if (!last) return;
  views_.erase(lost->gateway);
  common::LogEvent(log_event::kGatewayLost, "",
                   {{"gateway", lost->gateway}, {"link", why}});
  AnnounceView();
  if (on_lost_) on_lost_(lost->gateway);
}

bool gateway_links::Send(std::string_view gateway,
                         const core::gateway_message& message) {
  for (const std::shared_ptr<link>& each : links_) {
    if (!each->open || each->gateway != gateway) continue;
    SendTo(each.get(), message);
    return true;
  }
  return false;
}

void gateway_links::Broadcast(const core::gateway_message& message) {
  SendToEach(message, [](const link&) { return true; });
}

void gateway_links::BroadcastToDataCentre(
    const core::gateway_message& message) {
  SendToEach(message, [this](const link& each) { return InDataCentre(each); });
}

void gateway_links::SendToEach(const core::gateway_message& message,
                               const link_filter& meant) {
  std::set<std::string_view> recipients;
  const std::vector<std::shared_ptr<link>> links = links_;
  for (const std::shared_ptr<link>& each : links) {
    if (!each->open || each->gateway.empty() || !meant(*each)) continue;
    if (recipients.insert(each->gateway).second) SendTo(each.get(), message);
  }
}

std::vector<core::owner_candidate> gateway_links::OwnerCandidates() const {
  return Candidates([](const link&) { return true; });
}

std::vector<core::owner_candidate> gateway_links::DataCentreCandidates() const {
  return Candidates([this](const link& each) { return InDataCentre(each); });
}

std::vector<core::owner_candidate> gateway_links::Candidates(
    const link_filter& meant) const {
  std::vector<core::owner_candidate> candidates;
  std::set<std::string_view> known;
  for (const std::shared_ptr<link>& each : links_) {
    if (each->open && !each->stopping && !each->gateway.empty() &&
        meant(*each) && known.insert(each->gateway).second) {
      candidates.push_back({each->gateway, each->capacity, each->slow});
    }
  }
  if (!stopping_ || candidates.empty()) {
    candidates.push_back({name_, capacity_, lag_monitor_.slow()});
  }
  return candidates;
}

double gateway_links::CapacityOf(std::string_view gateway) const {
  for (const std::shared_ptr<link>& each : links_) {
    if (each->open && each->gateway == gateway) return each->capacity;
  }
  return 0;
}

void gateway_links::AnnounceShutdown() {
  stopping_ = true;
  Broadcast(core::gateway_shutdown_notice{});
}

size_t gateway_links::LinkedGatewayCount() const {
  std::set<std::string_view> names;
  for (const std::shared_ptr<link>& each : links_) {
    if (each->open && !each->gateway.empty()) names.insert(each->gateway);
  }
  return names.size();
}

size_t gateway_links::PendingBytes() const {
  size_t bytes = 0;
  for (const std::shared_ptr<link>& each : links_) {
    if (each->open) bytes += each->channel->PendingBytes();
  }
  return bytes;
}

size_t gateway_links::RecentGatewayCount() const {
  const common::time_point now = clock_.Now();
  size_t count = 1;
  for (const auto& [name, at] : last_seen_) count += now - at < kRecent ? 1 : 0;
  return count;
}

size_t gateway_links::ExpectedGatewayCount() const {
  const size_t recent = RecentGatewayCount();
  if (clock_.Now() - started_at_ >= kRecent) return recent;
  return std::max(recent, addresses_.size() + 1);
}

}  // namespace wisteriadale::gateway
