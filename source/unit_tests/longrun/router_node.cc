#include "unit_tests/longrun/router_node.h"

#include <vector>

namespace wisteriadale::longrun {
namespace {

constexpr common::duration kTickPeriod = std::chrono::milliseconds(250);
constexpr common::duration kHeartbeatTimeout = std::chrono::milliseconds(1000);
constexpr common::duration kReconnectTimeout = std::chrono::milliseconds(3000);

/// Passes an agent's message to the attempt table and updates the target's
/// load.
struct message_handler {
  core::attempt_table& attempts;
  core::target_view* view;
  std::string_view target;

  void operator()(const core::chunk_message& message) const {
    attempts.OnChunk(target, message);
  }
  void operator()(const core::outcome_message& message) const {
    view->load = message.load;
    attempts.OnOutcome(target, message);
  }
  void operator()(const core::revoke_answer_message& message) const {
    attempts.OnRevokeAnswer(target, message);
  }
  void operator()(const core::ping_message& message) const {
    view->load = message.load;
  }
  template <typename other>
  void operator()(const other&) const {}
};

}  // namespace

router_node::router_node(const std::string& name, fakes::virtual_time& time,
                         core::table& rows, common::random_source& random,
                         dialler dial)
    : process_(time),
      rows_(rows, process_),
      dial_(std::move(dial)),
      policies_(process_, random, {name, ""}),
      attempts_(*this, process_, kReconnectTimeout),
      batched_({}, rows_),
      operations_(batched_, process_, process_, random),
      dependencies_{process_,  process_,  random,      targets_,
                    policies_, attempts_, operations_, name} {}

void router_node::Start(const std::vector<target_listing>& targets) {
  for (const target_listing& target : targets) {
    targets_.FindOrCreate(target.id, target.pool, "");
    links_[target.id] = nullptr;
  }
  Tick();
}

void router_node::Tick() {
  std::vector<std::string> to_dial;
  for (auto& [target, link] : links_) {
    if (link && process_.Now() - last_heard_[target] > kHeartbeatTimeout) {
      link->CloseByRouter();
      link.reset();
      targets_.Find(target)->connected = false;
      attempts_.OnDisconnected(target);
    }
    if (!link) {
      to_dial.push_back(target);
    } else {
      link->SendToAgent(core::ping_message());
    }
  }
  for (const std::string& target : to_dial) Dial(target);
  process_.Schedule(kTickPeriod, [this] { Tick(); });
}

void router_node::Dial(const std::string& target) {
  const std::weak_ptr<router_node> weak = weak_from_this();
  const std::shared_ptr<const connection*> self =
      std::make_shared<const connection*>(nullptr);
  endpoint router_end;
  router_end.on_message = [weak, target, self](const core::message& message) {
    const std::shared_ptr<router_node> node = weak.lock();
    if (!node) return;
    node->process_.Event([raw = node.get(), target, self, message] {
      raw->OnMessage(target, *self, message);
    })();
  };
  router_end.on_closed = [weak, target, self] {
    const std::shared_ptr<router_node> node = weak.lock();
    if (!node) return;
    node->process_.Event(
        [raw = node.get(), target, self] { raw->OnClosed(target, *self); })();
  };
  const std::shared_ptr<connection> link = dial_(target, router_end);
  if (!link) return;
  *self = link.get();
  links_[target] = link;
  last_heard_[target] = process_.Now();
}

void router_node::OnMessage(const std::string& target, const connection* link,
                            const core::message& message) {
  if (links_[target].get() != link) return;
  last_heard_[target] = process_.Now();
  if (const auto* hello = std::get_if<core::hello_message>(&message)) {
    OnHello(target, *hello);
    return;
  }
  std::visit(message_handler{attempts_, targets_.Find(target), target},
             message);
}

void router_node::OnHello(const std::string& target,
                          const core::hello_message& hello) {
  core::target_view* view = targets_.Find(target);
  view->connected = true;
  view->incarnation = hello.incarnation;
  view->load.accepting = true;
  view->load.token_window = hello.token_window;
  attempts_.OnConnected(target, hello.incarnation);
}

void router_node::OnClosed(const std::string& target, const connection* link) {
  if (links_[target].get() != link) return;
  links_[target].reset();
  targets_.Find(target)->connected = false;
  attempts_.OnDisconnected(target);
}

bool router_node::Send(std::string_view target, const core::message& message) {
  const auto found = links_.find(target);
  if (found == links_.end() || !found->second) return false;
  found->second->SendToAgent(message);
  return true;
}

void router_node::DropLinks(bool silently) {
  for (auto& [target, link] : links_) {
    if (!link) continue;
    if (silently) {
      link->Silence(true, true);
    } else {
      link->CloseByRouter();
    }
  }
}

}  // namespace wisteriadale::longrun
