#include "router/agent_links.h"

#include "common/log.h"
#include "common/metrics.h"
#include "core/control_traffic.h"
#include "wire/codec.h"

namespace wisteriadale::router {
namespace {

using common::log_channel;
using common::log_level;

constexpr common::duration kTickPeriod = std::chrono::milliseconds(250);

/// Passes messages about attempts to the attempt table; ignores all others.
struct attempt_message_handler {
  core::attempt_table& attempts;
  core::target_view* view;
  std::string_view target;

  void operator()(const core::chunk_message& message) const {
    attempts.OnChunk(target, message);
  }
  void operator()(const core::outcome_message& message) const {
    if (view != nullptr) view->ApplyLoadReport(message.load);
    attempts.OnOutcome(target, message);
  }
  void operator()(const core::revoke_answer_message& message) const {
    attempts.OnRevokeAnswer(target, message);
  }
  void operator()(const core::ping_message& message) const {
    if (view != nullptr) view->ApplyLoadReport(message.load);
  }
  template <typename other>
  void operator()(const other&) const {}
};

}  // namespace

void agent_links::SetAgent(const std::string& target,
                           const net::endpoint& address) {
  link& current = links_[target];
  const bool moved = current.address != address;
  current.address = address;
  if (current.channel && moved) {
    // The target's VM was replaced; the old address may belong to another VM.
    current.channel->Close();
    OnClosed(target);
  }
  if (!current.channel && !current.dialling) Dial(target);
}

void agent_links::Remove(const std::string& target) {
  const auto found = links_.find(target);
  if (found == links_.end()) return;
  if (found->second.channel) found->second.channel->Close();
  links_.erase(found);
}

void agent_links::Tick() {
  const common::time_point now = clock_.Now();
  for (auto& [target, current] : links_) {
    if (!current.channel) {
      if (!current.dialling) Dial(target);
      continue;
    }
    if (current.monitor.TimedOut(now)) {
      common::Metrics().Count("wisteria_channels_silent_total");
      common::Log(
          log_channel::kNet, log_level::kWarning,
          "connection to the agent of " + target + " timed out; redialling");
      current.channel->Close();
      OnClosed(target);
      continue;
    }
    const bool busy = attempts_->CountOnTarget(target) > 0;
    if (!current.monitor.StartPingIfDue(now, busy)) continue;
    core::ping_message ping;
    ping.sequence = ++current.ping_sequence;
    std::string frame = wire::Encode(ping);
    core::CountControlMessage("sent", ping, frame.size());
    current.channel->Send(std::move(frame));
  }
  loop_.Schedule(kTickPeriod, [this] { Tick(); });
}

void agent_links::Dial(const std::string& target) {
  link& current = links_[target];
  current.dialling = true;
  net::DialChannel(loop_, current.address,
                   [this, target](std::shared_ptr<net::channel> channel) {
                     OnOpen(target, std::move(channel));
                   });
}

void agent_links::OnOpen(const std::string& target,
                         std::shared_ptr<net::channel> channel) {
  const auto found = links_.find(target);
  if (found == links_.end()) {
    if (channel) channel->Close();
    return;
  }
  link& current = found->second;
  current.dialling = false;
  if (!channel) return;
  current.channel = std::move(channel);
  current.monitor.OnOpened(clock_.Now());
  current.channel->SetMessageHandler(
      [this, target](std::string_view frame) { OnFrame(target, frame); });
  current.channel->SetClosedHandler([this, target] { OnClosed(target); });
  current.channel->Send(wire::Encode(hello_));
}

void agent_links::OnClosed(const std::string& target) {
  const auto found = links_.find(target);
  if (found == links_.end()) return;
  found->second.channel.reset();
  found->second.verified = false;
  if (listener_ != nullptr) listener_->OnAgentClosed(target);
  attempts_->OnDisconnected(target);
}

void agent_links::OnFrame(const std::string& target, std::string_view frame) {
  const auto found = links_.find(target);
  if (found == links_.end()) return;
  found->second.monitor.OnReceived();
  const std::optional<core::message> message = wire::Decode(frame);
  if (!message) {
    common::Metrics().Count("wisteria_bad_frames_total");
    return;
  }
  core::CountControlMessage("received", *message, frame.size());
  const auto* ping = std::get_if<core::ping_message>(&*message);
  if (ping != nullptr && ping->answer) found->second.monitor.OnPong();
  if (const auto* hello = std::get_if<core::hello_message>(&*message)) {
    OnHello(target, *hello);
    return;
  }
  if (!found->second.verified) return;
  std::visit(attempt_message_handler{*attempts_, targets_.Find(target), target},
             *message);
  if (listener_ != nullptr && core::IsControlMessage(*message)) {
    listener_->OnAgentMessage(target, *message);
  }
}

void agent_links::OnHello(const std::string& target,
                          const core::hello_message& hello) {
  core::target_view* view = targets_.Find(target);
  if (view == nullptr) return;
  link& current = links_[target];
  if (hello.name != target || hello.is_router) {
    // Another process listens at this address now; it must not get any work.
    common::Metrics().Count("wisteria_agents_mistaken_total");
    common::Log(
        log_channel::kNet, log_level::kWarning,
        "expected the agent of " + target + ", but found " + hello.name);
    current.channel->Close();
    OnClosed(target);
    return;
  }
  current.verified = true;
  view->incarnation = hello.incarnation;
  view->load.accepting = true;
  view->load.token_window = hello.token_window;
  if (listener_ != nullptr) listener_->OnAgentOpen(target, hello);
  attempts_->OnConnected(target, hello.incarnation);
}

bool agent_links::Send(std::string_view target, const core::message& message) {
  const auto found = links_.find(target);
  if (found == links_.end() || !found->second.verified) return false;
  std::string frame = wire::Encode(message);
  core::CountControlMessage("sent", message, frame.size());
  found->second.monitor.OnSent(clock_.Now());
  found->second.channel->Send(std::move(frame));
  return true;
}

}  // namespace wisteriadale::router
