#include "router/peer_links.h"

#include <algorithm>
#include <set>

#include "common/metrics.h"
#include "core/control_traffic.h"
#include "wire/codec.h"

namespace wisteriadale::router {
namespace {

constexpr common::duration kTickPeriod = std::chrono::milliseconds(250);
constexpr common::duration kSilenceLimit = std::chrono::milliseconds(1000);

}  // namespace

void peer_links::SetPeer(const std::string& name,
                         const net::endpoint& address) {
  dial_target& target = peers_[name];
  target.address = address;
  if (!Connected(name)) Dial(&target);
}

void peer_links::Forget(const std::string& name) { peers_.erase(name); }

void peer_links::AddSeed(const net::endpoint& address) {
  seeds_.push_back({address});
}

void peer_links::SetListenAddress(const std::string& address, uint16_t port) {
  hello_.address = address;
  hello_.port = port;
}

void peer_links::Accept(std::shared_ptr<net::channel> channel) {
  Open(std::move(channel));
}

void peer_links::Tick() {
  const common::time_point now = clock_.Now();
  std::vector<connection_id> silent;
  core::ping_message ping = listener_.PeerPing();
  ping.sequence = ++sequence_;
  ping.answer = true;
  for (const auto& [id, link] : connections_) {
    if (now - link.last_heard > kSilenceLimit) {
      silent.push_back(id);
    } else if (!link.name.empty()) {
      SendOn(link, ping);
    }
  }
  for (const connection_id id : silent) {
    common::Metrics().Count("wisteria_channels_silent_total");
    Drop(id);
  }
  std::set<std::string_view> connected;
  for (const auto& [id, link] : connections_) connected.insert(link.name);
  for (auto& [name, target] : peers_) {
    if (!connected.contains(name)) Dial(&target);
  }
  for (dial_target& seed : seeds_) {
    if (!connections_.contains(seed.opened)) Dial(&seed);
  }
  loop_.Schedule(kTickPeriod, [this] { Tick(); });
}

bool peer_links::Connected(std::string_view name) const {
  return std::any_of(
      connections_.begin(), connections_.end(),
      [name](const auto& entry) { return entry.second.name == name; });
}

void peer_links::Dial(dial_target* target) {
  if (target->dialling || connections_.contains(target->opened)) return;
  target->dialling = true;
  net::DialChannel(
      loop_, target->address,
      [this, address = target->address](std::shared_ptr<net::channel> channel) {
        OnDialled(address, std::move(channel));
      });
}

void peer_links::OnDialled(const net::endpoint& address,
                           std::shared_ptr<net::channel> channel) {
  const connection_id id = channel ? Open(std::move(channel)) : 0;
  for (auto& [name, target] : peers_) {
    if (target.address != address) continue;
    target.dialling = false;
    target.opened = id;
  }
  for (dial_target& seed : seeds_) {
    if (seed.address != address) continue;
    seed.dialling = false;
    seed.opened = id;
  }
}

peer_links::connection_id peer_links::Open(
    std::shared_ptr<net::channel> channel) {
  const connection_id id = next_id_++;
  connection& link = connections_[id];
  link.channel = std::move(channel);
  link.last_heard = clock_.Now();
  link.channel->OnMessage(
      [this, id](std::string_view frame) { OnFrame(id, frame); });
  link.channel->OnClosed([this, id] { OnClosed(id); });
  hello_.configuration_version = listener_.PeerPing().configuration_version;
  SendOn(link, hello_);
  return id;
}

void peer_links::OnFrame(connection_id id, std::string_view frame) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  found->second.last_heard = clock_.Now();
  const std::optional<core::message> message = wire::Decode(frame);
  if (!message) {
    common::Metrics().Count("wisteria_bad_frames_total");
    return;
  }
  core::CountControlMessage("received", *message, frame.size());
  if (const auto* hello = std::get_if<core::hello_message>(&*message)) {
    OnHello(id, *hello);
    return;
  }
  const std::string name = found->second.name;
  if (!name.empty()) listener_.OnPeerMessage(name, *message);
}

void peer_links::OnHello(connection_id id, const core::hello_message& hello) {
  connection& link = connections_.at(id);
  if (!hello.is_router) {
    core::vm_entry entry;
    entry.name = hello.name;
    entry.pool = hello.pool;
    entry.data_centre = hello.data_centre;
    entry.address = hello.address;
    entry.port = hello.port;
    if (!entry.pool.empty() && entry.port != 0) listener_.OnAnnouncement(entry);
    return;
  }
  if (hello.name == hello_.name) {
    // A seed that is this router itself.
    std::erase_if(seeds_, [id](const dial_target& seed) {
      return seed.opened == id || seed.dialling;
    });
    Drop(id);
    return;
  }
  link.name = hello.name;
  listener_.OnPeerOpen(hello);
}

void peer_links::OnClosed(connection_id id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const std::string name = found->second.name;
  connections_.erase(found);
  if (!name.empty() && !Connected(name)) listener_.OnPeerClosed(name);
}

void peer_links::Drop(connection_id id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const std::shared_ptr<net::channel> channel = found->second.channel;
  OnClosed(id);
  channel->Close();
}

bool peer_links::Send(std::string_view router, const core::message& message) {
  // The newest channel has been heard from most recently.
  for (auto link = connections_.rbegin(); link != connections_.rend(); ++link) {
    if (link->second.name != router) continue;
    SendOn(link->second, message);
    return true;
  }
  return false;
}

void peer_links::SendOn(const connection& link, const core::message& message) {
  std::string frame = wire::Encode(message);
  core::CountControlMessage("sent", message, frame.size());
  link.channel->Send(std::move(frame));
}

}  // namespace wisteriadale::router
