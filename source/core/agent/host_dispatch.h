#pragma once

#include "core/agent/attempt_host.h"

namespace wisteriadale::core {

/// Hands a router's messages about attempts to the attempt host. Handlers of a
/// whole agent derive from it and add the messages of control.
struct host_dispatch {
  attempt_host& host;
  router_link link;

  void operator()(const execute_message& message) const {
    host.OnExecute(link, message);
  }
  void operator()(const cancel_message& message) const {
    host.OnCancel(message);
  }
  void operator()(const resume_message& message) const {
    host.OnResume(link, message);
  }
  void operator()(const revoke_message& message) const {
    host.OnRevoke(link, message);
  }
};

}  // namespace wisteriadale::core
