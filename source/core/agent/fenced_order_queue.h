#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "core/messages.h"
#include "core/ports/table.h"

namespace wisteriadale::core {

/// Carries orders out on the target.
class order_target {
 public:
  using order_handler =
      std::function<void(common::result_code code, std::string_view reason)>;

  virtual ~order_target() = default;
  /// Sends an order to the target.
  virtual void Apply(const order_message& order, order_handler handler) = 0;
  /// Begins or ends a drain of the target.
  /// @param reason who requests it; each ends only its own drain
  virtual void SetDrained(std::string_view reason, bool drained) = 0;
};

/// Settings of an order queue.
struct fenced_order_queue_options {
  std::string lease_key;  ///< of the controller lease of the data centre
  /// The target itself checks the sender of an order.
  bool target_checks_authority = false;
  /// Delay between an order without an answer and one of a newer epoch.
  common::duration unanswered_order_delay = std::chrono::seconds(2);
  /// Answers kept for orders that are sent again.
  size_t max_kept_answers = 1024;
};

/// Fences and serialises orders to the target. It refuses orders of old epochs
/// on behalf of targets that would not, runs one order at a time and each order
/// once. After a restart it reads the lease row before it accepts any.
class fenced_order_queue {
 public:
  using answer_handler = std::function<void(const order_answer_message&)>;

  fenced_order_queue(fenced_order_queue_options options, order_target& target,
                     table& rows, common::timer_service& timers)
      : options_(std::move(options)),
        target_(target),
        rows_(rows),
        timers_(timers) {}

  /// Handles an order that a router sent.
  /// @param handler called once, when the order has ended or is refused
  void OnOrder(const order_message& order, answer_handler handler);

  /// @return the highest fencing number seen so far
  uint64_t highest_fencing_number() const { return highest_fencing_number_; }

 private:
  struct pending_order {
    order_message order;
    std::vector<answer_handler> handlers;
  };

  void Validate(pending_order pending);
  void ReadLease(pending_order pending);
  void OnLease(pending_order pending, const table_result& answer);
  void Drain(const pending_order& pending);
  void Answer(const pending_order& pending, common::result_code code,
              std::string_view reason);
  void RunNext();
  void OnApplied(common::result_code code, std::string_view reason);
  void StoreAnswer(const order_answer_message& answer);
  order_answer_message AnswerTo(const order_message& order,
                                common::result_code code,
                                std::string_view reason) const;

  fenced_order_queue_options options_;
  order_target& target_;
  table& rows_;
  common::timer_service& timers_;
  uint64_t highest_fencing_number_ = 0;
  uint64_t sent_epoch_ = 0;  ///< of the last order that reached the target
  bool lease_known_ = false;
  uint64_t lease_epoch_ = 0;
  std::string lease_holder_;
  bool running_ = false;
  bool unanswered_ = false;  ///< an order without an answer may still arrive
  std::deque<pending_order> queue_;  ///< the first one runs while running_
  std::map<std::string, order_answer_message> answers_;
  std::deque<std::string> answer_order_;  ///< ids, oldest first
};

}  // namespace wisteriadale::core
