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

/// An order that an operator or a policy requests for a target.
struct order_request {
  std::string order_id;  ///< generated when empty; a repeat is the same order
  std::string target;
  std::string kind;
  std::string argument;
  std::string requested_by;
};

/// An order and its progress.
struct order_state {
  order_message order;
  std::string requested_by;
  bool ended = false;
  common::result_code code = common::result_code::kOk;  ///< set at the end
  std::string reason;                                   ///< set at the end
  uint32_t send_count = 0;  ///< to the agent or to the lease holder
  int64_t submitted_wall_us = 0;
};

/// What the controller needs from its router.
class order_network {
 public:
  virtual ~order_network() = default;
  /// State of the lease that authorises orders for a target.
  struct lease_status {
    bool held = false;   ///< by this router
    uint64_t epoch = 0;  ///< valid while held
    std::string holder;  ///< named in the row when it was last read
  };
  virtual lease_status LeaseFor(std::string_view target) = 0;
  /// Sends an order to the agent of a target.
  /// @return whether it was sent
  virtual bool SendOrder(std::string_view target,
                         const order_message& order) = 0;
  /// Passes an order on to the router that holds the lease.
  /// @return whether it was sent
  virtual bool ForwardOrder(std::string_view router,
                            const order_message& order) = 0;
};

/// How long orders are sent and kept.
struct order_controller_options {
  std::string router_name;
  common::duration resend_period = std::chrono::milliseconds(500);
  /// An order that is unanswered for this long ends with kDeadlineExceeded.
  common::duration give_up_after = std::chrono::seconds(120);
  size_t max_kept_orders = 256;  ///< ended ones, for Recent and for repeats
};

/// Sends orders under the controller lease and resends each one, with the same
/// order id, until it is answered or times out. Orders for targets whose lease
/// another router holds are forwarded to that router.
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

  /// @param handler called once, when the order has ended; at once when an
  /// order with this id already has
  void Submit(order_request request, state_handler handler);
  /// Ends the order that the answer belongs to, unless the answer is a refusal
  /// that a resend may overcome.
  void OnAnswer(const order_answer_message& answer);
  /// @return the kept orders, newest first
  std::vector<order_state> Recent() const;

 private:
  struct pending_order {
    order_state state;
    common::time_point deadline;
    std::vector<state_handler> handlers;
  };

  void SendUntilAnswered(const std::string& order_id);
  void End(pending_order* entry, common::result_code code,
           std::string_view reason);
  void RemoveOldest();

  order_controller_options options_;
  order_network& network_;
  common::timer_service& timers_;
  common::clock& clock_;
  common::random_source& random_;
  std::map<std::string, pending_order> orders_;
  std::deque<std::string> order_ids_;  ///< oldest first
};

}  // namespace wisteriadale::core
