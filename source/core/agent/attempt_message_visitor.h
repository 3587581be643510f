#pragma once

#include "core/agent/attempt_scheduler.h"

namespace wisteriadale::core {

/// Hands a router's messages about attempts to the attempt scheduler. Handlers
/// of a whole agent derive from it and add the messages of control.
struct attempt_message_visitor {
  attempt_scheduler& scheduler;
  router_connection_id link;

  void operator()(const execute_message& message) const {
    scheduler.OnExecute(link, message);
  }
  void operator()(const cancel_message& message) const {
    scheduler.OnCancel(message);
  }
  void operator()(const resume_message& message) const {
    scheduler.OnResume(link, message);
  }
  void operator()(const revoke_message& message) const {
    scheduler.OnRevoke(link, message);
  }
};

}  // namespace wisteriadale::core
