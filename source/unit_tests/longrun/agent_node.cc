#include "unit_tests/longrun/agent_node.h"

#include "core/agent/attempt_message_visitor.h"

namespace wisteriadale::longrun {
namespace {

constexpr common::duration kFlushTimeout = std::chrono::seconds(10);

core::attempt_scheduler_options OptionsOf(uint64_t incarnation) {
  core::attempt_scheduler_options options;
  options.incarnation = incarnation;
  options.concurrency_limit = 4;
  options.queue_limit = 32;
  options.retention = std::chrono::seconds(10);
  // Short, so that messages on a stalled connection arrive after their token
  // has expired.
  options.tokens.window = std::chrono::seconds(10);
  options.tokens.retained_windows = 4;
  return options;
}

/// Passes a router's message to the attempt scheduler, or answers a ping.
struct message_handler : core::attempt_message_visitor {
  agent_node& node;

  using core::attempt_message_visitor::operator();
  void operator()(const core::ping_message& message) const {
    core::ping_message answer;
    answer.sequence = message.sequence;
    answer.answer = true;
    answer.load = scheduler.Load();
    node.Send(link, answer);
  }
  template <typename other>
  void operator()(const other&) const {}
};

}  // namespace

agent_node::agent_node(std::string id, uint64_t incarnation,
                       fakes::virtual_time& time, core::table& rows,
                       common::random_source& random, fake_target& target)
    : id_(std::move(id)),
      process_(time),
      rows_(rows, process_),
      target_(target),
      scheduler_(OptionsOf(incarnation), *this, *this, process_, process_),
      operations_(rows_, process_, process_, random),
      recorder_({}, operations_, process_, process_) {
  scheduler_.SetOperationObserver(&recorder_);
  hello_.name = id_;
  hello_.incarnation = incarnation;
}

endpoint agent_node::Accept(const std::shared_ptr<connection>& link) {
  const core::router_connection_id id = next_link_++;
  links_[id] = link;
  const std::weak_ptr<agent_node> weak = weak_from_this();
  endpoint agent_end;
  agent_end.on_message = [weak, id](const core::message& message) {
    const std::shared_ptr<agent_node> node = weak.lock();
    if (!node) return;
    node->process_.Event(
        [raw = node.get(), id, message] { raw->OnMessage(id, message); })();
  };
  agent_end.on_closed = [weak, id] {
    const std::shared_ptr<agent_node> node = weak.lock();
    if (!node) return;
    node->process_.Event([raw = node.get(), id] {
      raw->links_.erase(id);
      raw->scheduler_.OnLinkClosed(id);
    })();
  };
  process_.Event([this, id] {
    hello_.token_window = scheduler_.token_window();
    Send(id, hello_);
  })();
  return agent_end;
}

void agent_node::OnMessage(core::router_connection_id link,
                           const core::message& message) {
  std::visit(message_handler{{scheduler_, link}, *this}, message);
}

void agent_node::Send(core::router_connection_id link,
                      const core::message& message) {
  const auto found = links_.find(link);
  if (found != links_.end()) found->second->SendToRouter(message);
}

void agent_node::Run(const core::execute_message& execute,
                     core::target_observer*) {
  runs_.insert(execute.attempt_id);
  target_.Run(execute, this);
}

void agent_node::Cancel(std::string_view attempt_id) {
  // target_client allows no callback after Cancel: an event that is still
  // deferred by a pause must not be delivered.
  const auto found = runs_.find(attempt_id);
  if (found != runs_.end()) runs_.erase(found);
  target_.Cancel(attempt_id);
}

void agent_node::OnTargetChunk(std::string_view attempt_id,
                               std::string_view data) {
  process_.Event(
      [this, id = std::string(attempt_id), part = std::string(data)] {
        if (runs_.contains(id)) scheduler_.OnTargetChunk(id, part);
      })();
}

void agent_node::OnTargetResult(std::string_view attempt_id,
                                const core::target_result& result) {
  process_.Event([this, id = std::string(attempt_id), result] {
    if (runs_.erase(id) > 0) scheduler_.OnTargetResult(id, result);
  })();
}

void agent_node::Drain(std::function<void()> on_drained) {
  process_.Event([this, on_drained = std::move(on_drained)] {
    scheduler_.Drain(
        [this, on_drained] { recorder_.Flush(kFlushTimeout, on_drained); });
  })();
}

}  // namespace wisteriadale::longrun
