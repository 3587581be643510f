#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "common/random.h"
#include "core/messages.h"
#include "unit_tests/fakes/virtual_time.h"

namespace wisteriadale::longrun {

/// Handlers at one end of a connection. Each runs as an event of the process at
/// that end.
struct endpoint {
  std::function<void(const core::message&)> on_message;
  std::function<void()> on_closed;
};

/// A connection between a router and an agent. Messages of one connection
/// arrive in order; there is no order across connections.
class connection {
 public:
  connection(fakes::virtual_time& time, common::random_source& random)
      : time_(time), random_(random) {}

  void SetEndpoints(endpoint router, endpoint agent) {
    endpoints_[0] = std::move(router);
    endpoints_[1] = std::move(agent);
  }
  void SendToAgent(const core::message& message) { Send(1, message); }
  void SendToRouter(const core::message& message) { Send(0, message); }
  /// Closes the router's end. The agent learns of it later and still receives
  /// the messages that were sent before.
  void CloseByRouter();
  /// Closes both ends at once; messages in flight are lost.
  void Break();
  /// Drops all further messages, in one or both directions, while the
  /// connection looks open to both ends.
  void Silence(bool to_agent, bool to_router);
  /// Delays messages to the agent until the given instant.
  void Stall(common::time_point until) { stalled_until_ = until; }
  /// From now on, drops, duplicates or reorders a share of the stream chunks to
  /// the router, or adds one of another organisation.
  void CorruptStreams() { corrupting_ = true; }
  bool broken() const { return broken_; }

 private:
  void Send(int side, const core::message& message);
  void SendCorrupted(const core::chunk_message& chunk);
  void Deliver(int side, const core::message& message, common::duration delay);

  fakes::virtual_time& time_;
  common::random_source& random_;
  endpoint endpoints_[2];
  common::time_point last_arrival_[2];
  common::time_point stalled_until_;
  bool silent_[2] = {false, false};
  bool corrupting_ = false;
  bool router_closed_ = false;
  bool broken_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wisteriadale::longrun
