#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "common/random.h"
#include "core/messages.h"
#include "unit_tests/fakes/virtual_time.h"

namespace wisteriadale::longrun {

/// One end of a connection. Its functions run as events of its process.
struct endpoint {
  std::function<void(const core::message&)> on_message;
  std::function<void()> on_closed;
};

/// A connection between a router and an agent: ordered within itself, not
/// across connections.
class connection {
 public:
  connection(fakes::virtual_time& time, common::random_source& random)
      : time_(time), random_(random) {}

  void SetEnds(endpoint router, endpoint agent) {
    ends_[0] = std::move(router);
    ends_[1] = std::move(agent);
  }
  void SendToAgent(const core::message& message) { Send(1, message); }
  void SendToRouter(const core::message& message) { Send(0, message); }
  /// The router closes its end; the agent notices later and may still receive
  /// what was sent before.
  void CloseByRouter();
  /// Both ends notice at once, and what is under way is lost.
  void Break();
  /// From now on nothing arrives, in one or both directions, though both ends
  /// believe the connection open.
  void Silence(bool to_agent, bool to_router);
  /// What is sent to the agent arrives only at the given instant.
  void Stall(common::time_point until) { stalled_until_ = until; }
  /// From now on, parts of streams to the router are lost, doubled, reordered
  /// or come from another organisation, now and then.
  void Garble() { garbled_ = true; }
  bool broken() const { return broken_; }

 private:
  void Send(int end, const core::message& message);
  void SendGarbled(const core::chunk_message& chunk);
  void Deliver(int end, const core::message& message, common::duration delay);

  fakes::virtual_time& time_;
  common::random_source& random_;
  endpoint ends_[2];
  common::time_point last_arrival_[2];
  common::time_point stalled_until_;
  bool silent_[2] = {false, false};
  bool garbled_ = false;
  bool router_closed_ = false;
  bool broken_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wisteriadale::longrun
