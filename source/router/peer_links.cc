#include "router/peer_links.h"

#include <algorithm>
#include <set>

#include "common/metrics.h"
#include "core/control_traffic.h"
#include "wire/codec.h"

namespace wisteriadale::router {
namespace {

constexpr common::duration kTickPeriod = std::chrono::milliseconds(250);
// A peer pings on each of its ticks, so that the timeout spans four pings.
constexpr common::duration kReceiveTimeout = std::chrono::milliseconds(1000);

}  // namespace

void peer_links::SetPeer(const std::string& name,
                         const net::endpoint& address) {
  dial_state& peer = peers_[name];
  peer.address = address;
  if (!Connected(name)) Dial(&peer);
}

void peer_links::Remove(const std::string& name) { peers_.erase(name); }

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
  std::vector<connection_id> dead;
  core::ping_message ping = listener_.PeerPing();
  ping.sequence = ++ping_sequence_;
  ping.answer = true;
  for (const auto& [id, link] : connections_) {
    if (now - link.last_received > kReceiveTimeout) {
      dead.push_back(id);
    } else if (!link.name.empty()) {
      SendOn(link, ping);
    }
  }
  for (const connection_id id : dead) {
    common::Metrics().Count("wisteria_channels_silent_total");
    CloseConnection(id);
  }
  std::set<std::string_view> connected;
  for (const auto& [id, link] : connections_) connected.insert(link.name);
  for (auto& [name, peer] : peers_) {
    if (!connected.contains(name)) Dial(&peer);
  }
  for (dial_state& seed : seeds_) {
    if (!connections_.contains(seed.opened)) Dial(&seed);
  }
  loop_.Schedule(kTickPeriod, [this] { Tick(); });
}

bool peer_links::Connected(std::string_view name) const {
  return std::any_of(
      connections_.begin(), connections_.end(),
      [name](const auto& entry) { return entry.second.name == name; });
}

void peer_links::Dial(dial_state* peer) {
  if (peer->dialling || connections_.contains(peer->opened)) return;
  peer->dialling = true;
  net::DialChannel(
      loop_, peer->address,
      [this, address = peer->address](std::shared_ptr<net::channel> channel) {
        OnDialled(address, std::move(channel));
      });
}

void peer_links::OnDialled(const net::endpoint& address,
                           std::shared_ptr<net::channel> channel) {
  const connection_id id = channel ? Open(std::move(channel)) : 0;
  for (auto& [name, peer] : peers_) {
    if (peer.address != address) continue;
    peer.dialling = false;
    peer.opened = id;
  }
  for (dial_state& seed : seeds_) {
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
  link.last_received = clock_.Now();
  link.channel->SetMessageHandler(
      [this, id](std::string_view frame) { OnFrame(id, frame); });
  link.channel->SetClosedHandler([this, id] { OnClosed(id); });
  hello_.configuration_version = listener_.PeerPing().configuration_version;
  SendOn(link, hello_);
  return id;
}

void peer_links::OnFrame(connection_id id, std::string_view frame) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  found->second.last_received = clock_.Now();
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
    // The seed address leads to this router itself.
    std::erase_if(seeds_, [id](const dial_state& seed) {
      return seed.opened == id || seed.dialling;
    });
    CloseConnection(id);
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

void peer_links::CloseConnection(connection_id id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const std::shared_ptr<net::channel> channel = found->second.channel;
  OnClosed(id);
  channel->Close();
}

bool peer_links::Send(std::string_view router, const core::message& message) {
  // The newest channel is the one that most recently received data.
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
