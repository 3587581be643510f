#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "common/random.h"
#include "core/messages.h"

namespace wisteriadale::core {

/// What an operator or a policy wants a target to do.
struct order_request {
  std::string order_id;  ///< made when empty; a repeat is the same order
  std::string target;
  std::string kind;
  std::string argument;
  std::string requested_by;
};

/// An order and how it fares.
struct order_state {
  order_message order;
  std::string requested_by;
  bool ended = false;
  common::result_code code = common::result_code::kOk;
  std::string reason;
  uint32_t send_count = 0;
  int64_t submitted_wall_us = 0;
};

/// What a controller needs of its router.
class order_network {
 public:
  virtual ~order_network() = default;
  /// The lease that orders for a target are given under.
  struct lease_status {
    bool held = false;   ///< by this router
    uint64_t epoch = 0;  ///< while held
    std::string holder;  ///< the row's holder, as last read
  };
  virtual lease_status LeaseFor(std::string_view target) = 0;
  /// @return whether it was sent
  virtual bool SendOrder(std::string_view target,
                         const order_message& order) = 0;
  virtual bool ForwardOrder(std::string_view router,
                            const order_message& order) = 0;
};

struct order_controller_options {
  std::string router_name;
  common::duration resend_period = std::chrono::milliseconds(500);
  common::duration give_up_after = std::chrono::seconds(120);
  size_t max_kept_orders = 256;
};

/// Sends orders under the controller lease, again and again under one order id
/// until they are answered. Orders for targets of another holder go to it.
class order_controller {
 public:
  using state_handler = std::function<void(const order_state&)>;

  order_controller(order_controller_options options, order_network& network,
                   common::timer_service& timers, common::clock& clock,
                   common::random_source& random)
      : options_(std::move(options)),
        network_(network),
        timers_(timers),
        clock_(clock),
        random_(random) {}

  /// @param handler called once, when the order has ended
  void Submit(order_request request, state_handler handler);
  void OnAnswer(const order_answer_message& answer);
  /// @return the latest orders, newest first
  std::vector<order_state> Recent() const;

 private:
  struct pending {
    order_state state;
    common::time_point deadline;
    std::vector<state_handler> handlers;
  };

  void Send(const std::string& order_id);
  void End(pending* work, common::result_code code, std::string_view reason);
  void Trim();

  order_controller_options options_;
  order_network& network_;
  common::timer_service& timers_;
  common::clock& clock_;
  common::random_source& random_;
  std::map<std::string, pending> orders_;
  std::deque<std::string> ages_;
};

}  // namespace wisteriadale::core
