#pragma once

#include <optional>

#include "common/clock.h"

namespace wisteriadale::core {

/// When a link is asked for a sign of life, and when it counts as silent.
struct link_monitor_options {
  common::duration busy_ping_period = std::chrono::milliseconds(250);
  common::duration idle_ping_period = std::chrono::seconds(2);
  /// Time without any byte, from the first message that was not answered.
  common::duration receive_timeout = std::chrono::milliseconds(1000);
  /// Time without the answer to a ping while other bytes still arrive: what is
  /// sent may get lost one way.
  common::duration pong_timeout = std::chrono::milliseconds(2000);
};

/// Decides when to ping over one connection and when to give it up. A link with
/// work on it is asked often, so that work is resumed soon; an idle one seldom,
/// so that control traffic stays small with many links.
class link_monitor {
 public:
  explicit link_monitor(const link_monitor_options& options)
      : options_(options) {}

  /// A new connection opened.
  void OnOpened(common::time_point now) {
    last_ping_ = now;
    unanswered_since_.reset();
    ping_since_.reset();
  }

  /// Something was sent that the other end answers, now or with its next ping.
  void OnSent(common::time_point now) {
    if (!unanswered_since_) unanswered_since_ = now;
  }

  /// Anything arrived.
  void OnReceived() { unanswered_since_.reset(); }

  /// The answer to a ping arrived.
  void OnPong() {
    unanswered_since_.reset();
    ping_since_.reset();
  }

  /// @param busy whether work is in progress on the link
  /// @return whether to send a ping now; it then counts as sent
  bool StartPingIfDue(common::time_point now, bool busy) {
    const bool urgent =
        busy || unanswered_since_.has_value() || ping_since_.has_value();
    const common::duration period =
        urgent ? options_.busy_ping_period : options_.idle_ping_period;
    if (now - last_ping_ < period) return false;
    last_ping_ = now;
    OnSent(now);
    if (!ping_since_) ping_since_ = now;
    return true;
  }

  /// @return whether the connection must be given up
  bool TimedOut(common::time_point now) const {
    const bool nothing_heard =
        unanswered_since_ &&
        now - *unanswered_since_ > options_.receive_timeout;
    const bool no_answer =
        ping_since_ && now - *ping_since_ > options_.pong_timeout;
    return nothing_heard || no_answer;
  }

 private:
  link_monitor_options options_;
  common::time_point last_ping_{};
  std::optional<common::time_point> unanswered_since_;
  std::optional<common::time_point> ping_since_;
};

}  // namespace wisteriadale::core
