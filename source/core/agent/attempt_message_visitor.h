#pragma once

#include "core/agent/attempt_scheduler.h"

namespace wisteriadale::core {

/// Passes a router's messages about attempts to the attempt scheduler. The
/// message handler of a whole agent derives from it and adds control messages.
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
