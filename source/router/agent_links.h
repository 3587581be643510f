#pragma once

#include <map>
#include <memory>
#include <string>

#include "core/membership/link_monitor.h"
#include "core/pipeline/attempt_table.h"
#include "core/routing/target_table.h"
#include "net/channel.h"
#include "net/event_loop.h"

/// The router process, which runs on an entry VM.
namespace wisteriadale::router {

/// Receives connection events and control messages from agents; messages about
/// attempts go to the attempt table.
class agent_listener {
 public:
  virtual ~agent_listener() = default;
  /// A channel to the agent of that target opened and its name was verified.
  virtual void OnAgentOpen(std::string_view target,
                           const core::hello_message& hello) = 0;
  virtual void OnAgentClosed(std::string_view target) = 0;
  virtual void OnAgentMessage(std::string_view target,
                              const core::message& message) = 0;
};

/// Channels to the agents of all targets: dials them, keeps them alive with
/// pings and passes their messages to the attempt table.
class agent_links final : public core::agent_sender {
 public:
  agent_links(net::event_loop& loop, common::clock& clock,
              core::target_table& targets, core::hello_message hello)
      : loop_(loop),
        clock_(clock),
        targets_(targets),
        hello_(std::move(hello)) {}

  void SetAttempts(core::attempt_table* attempts) { attempts_ = attempts; }
  void SetListener(agent_listener* listener) { listener_ = listener; }
  /// Sets the address of a target's agent, dials it and redials whenever the
  /// channel is lost.
  void SetAgent(const std::string& target, const net::endpoint& address);
  /// Closes the channel and stops dialling.
  void Remove(const std::string& target);
  /// Sends due pings, closes dead channels and redials; schedules itself.
  void Tick();

  /// @return whether the message was queued on a verified channel
  bool Send(std::string_view target, const core::message& message) override;

 private:
  struct link {
    net::endpoint address;
    std::shared_ptr<net::channel> channel;
    bool dialling = false;
    bool verified = false;  ///< the agent's hello had the expected name
    core::link_monitor monitor{core::link_monitor_options()};
    uint64_t ping_sequence = 0;
  };

  void Dial(const std::string& target);
  void OnOpen(const std::string& target, std::shared_ptr<net::channel> channel);
  void OnClosed(const std::string& target);
  void OnFrame(const std::string& target, std::string_view frame);
  void OnHello(const std::string& target, const core::hello_message& hello);

  net::event_loop& loop_;
  common::clock& clock_;
  core::target_table& targets_;
  core::hello_message hello_;
  core::attempt_table* attempts_ = nullptr;
  agent_listener* listener_ = nullptr;
  std::map<std::string, link, std::less<>> links_;
};

}  // namespace wisteriadale::router
