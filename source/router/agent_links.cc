#include "router/agent_links.h"

#include "common/log.h"
#include "common/metrics.h"
#include "wire/codec.h"

namespace wisteriadale::router {
namespace {

using common::log_channel;
using common::log_level;

constexpr common::duration kTickPeriod = std::chrono::milliseconds(250);
constexpr common::duration kSilenceLimit = std::chrono::milliseconds(1000);

/// Hands an agent's message to the attempt table.
struct message_handler {
  core::attempt_table& attempts;
  core::target_view* view;
  std::string_view target;

  void operator()(const core::chunk_message& message) const {
    attempts.OnChunk(target, message);
  }
  void operator()(const core::outcome_message& message) const {
    if (view != nullptr) view->Report(message.load);
    attempts.OnOutcome(target, message);
  }
  void operator()(const core::revoke_answer_message& message) const {
    attempts.OnRevokeAnswer(target, message);
  }
  void operator()(const core::ping_message& message) const {
    if (view != nullptr) view->Report(message.load);
  }
  template <typename other>
  void operator()(const other&) const {}
};

}  // namespace

void agent_links::Apply(const std::vector<core::vm_entry>& entries) {
  for (const core::vm_entry& entry : entries) {
    if (entry.role != core::vm_role::kTarget) continue;
    core::target_view* view =
        targets_.Ensure(entry.name, entry.pool, entry.data_centre);
    view->listed_leaving = entry.state == core::vm_state::kLeaving;
    link& current = links_[entry.name];
    current.address = {entry.address, entry.port};
    if (!current.channel && !current.dialling) Dial(entry.name);
  }
}

void agent_links::Tick() {
  const common::time_point now = clock_.Now();
  for (auto& [target, current] : links_) {
    if (!current.channel) {
      if (!current.dialling) Dial(target);
      continue;
    }
    if (now - current.last_heard > kSilenceLimit) {
      common::Metrics().Count("wisteria_channels_silent_total");
      common::Log(log_channel::kNet, log_level::kWarning,
                  "no bytes from the agent of " + target + "; dialling anew");
      current.channel->Close();
      OnClosed(target);
      continue;
    }
    core::ping_message ping;
    ping.sequence = ++current.sequence;
    current.channel->Send(wire::Encode(ping));
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
  link& current = links_[target];
  current.dialling = false;
  if (!channel) return;
  current.channel = std::move(channel);
  current.last_heard = clock_.Now();
  current.channel->OnMessage(
      [this, target](std::string_view frame) { OnFrame(target, frame); });
  current.channel->OnClosed([this, target] { OnClosed(target); });
  current.channel->Send(wire::Encode(hello_));
}

void agent_links::OnClosed(const std::string& target) {
  links_[target].channel.reset();
  core::target_view* view = targets_.Find(target);
  if (view != nullptr) view->connected = false;
  attempts_->OnDisconnected(target);
}

void agent_links::OnFrame(const std::string& target, std::string_view frame) {
  links_[target].last_heard = clock_.Now();
  const std::optional<core::message> message = wire::Decode(frame);
  if (!message) {
    common::Metrics().Count("wisteria_bad_frames_total");
    return;
  }
  if (const auto* hello = std::get_if<core::hello_message>(&*message)) {
    OnHello(target, *hello);
    return;
  }
  std::visit(message_handler{*attempts_, targets_.Find(target), target},
             *message);
}

void agent_links::OnHello(const std::string& target,
                          const core::hello_message& hello) {
  core::target_view* view = targets_.Find(target);
  if (view == nullptr) return;
  if (hello.name != target) {
    // Another process took over the address.
    common::Log(log_channel::kNet, log_level::kWarning,
                "expected the agent of " + target + ", found " + hello.name);
    return;
  }
  view->connected = true;
  view->incarnation = hello.incarnation;
  view->load.accepting = true;
  view->load.token_window = hello.token_window;
  attempts_->OnConnected(target, hello.incarnation);
}

bool agent_links::Send(std::string_view target, const core::message& message) {
  const auto found = links_.find(target);
  if (found == links_.end() || !found->second.channel) return false;
  found->second.channel->Send(wire::Encode(message));
  return true;
}

}  // namespace wisteriadale::router
