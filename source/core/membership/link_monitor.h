#pragma once

#include <optional>

#include "common/clock.h"

namespace wisteriadale::core {

/// How often a link is pinged, and when it counts as dead.
struct link_monitor_options {
  /// Ping period while work is in progress or a reply is outstanding.
  common::duration busy_ping_period = std::chrono::milliseconds(250);
  common::duration idle_ping_period = std::chrono::seconds(2);
  /// Longest time without any received byte, counted from the first message
  /// that is unanswered.
  common::duration receive_timeout = std::chrono::milliseconds(1000);
  /// Longest time without the reply to a ping, even if other bytes arrive: the
  /// link may lose messages in one direction only.
  common::duration pong_timeout = std::chrono::milliseconds(2000);
};

/// Heartbeat monitor of one connection: decides when to send a ping and when to
/// close the connection. A link with work in progress is pinged often, so that
/// the work is resumed soon after a failure; an idle one is pinged seldom, to
/// keep control traffic small with many links.
class link_monitor {
 public:
  explicit link_monitor(const link_monitor_options& options)
      : options_(options) {}

  /// Resets the state for a newly opened connection.
  void OnOpened(common::time_point now) {
    last_ping_ = now;
    unanswered_since_.reset();
    pong_missing_since_.reset();
  }

  /// A message was sent that the other end answers, at once or with its next
  /// ping.
  void OnSent(common::time_point now) {
    if (!unanswered_since_) unanswered_since_ = now;
  }

  /// Any bytes arrived.
  void OnReceived() { unanswered_since_.reset(); }

  /// The reply to a ping arrived.
  void OnPong() {
    unanswered_since_.reset();
    pong_missing_since_.reset();
  }

  /// @param busy whether work is in progress on the link
  /// @return whether the caller must send a ping now; it is recorded as sent
  bool StartPingIfDue(common::time_point now, bool busy) {
    const bool urgent = busy || unanswered_since_.has_value() ||
                        pong_missing_since_.has_value();
    const common::duration period =
        urgent ? options_.busy_ping_period : options_.idle_ping_period;
    if (now - last_ping_ < period) return false;
    last_ping_ = now;
    OnSent(now);
    if (!pong_missing_since_) pong_missing_since_ = now;
    return true;
  }

  /// @return whether the connection must be closed
  bool TimedOut(common::time_point now) const {
    const bool nothing_received =
        unanswered_since_ &&
        now - *unanswered_since_ > options_.receive_timeout;
    const bool no_pong = pong_missing_since_ &&
                         now - *pong_missing_since_ > options_.pong_timeout;
    return nothing_received || no_pong;
  }

 private:
  link_monitor_options options_;
  common::time_point last_ping_{};
  std::optional<common::time_point> unanswered_since_;
  std::optional<common::time_point> pong_missing_since_;
};

}  // namespace wisteriadale::core
