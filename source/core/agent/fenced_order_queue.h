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

/// What orders act on.
class order_target {
 public:
  using order_handler =
      std::function<void(common::result_code code, std::string_view reason)>;

  virtual ~order_target() = default;
  /// Passes an order on to the target.
  virtual void Apply(const order_message& order, order_handler handler) = 0;
  /// Begins or ends a drain of the target.
  /// @param reason who asked; each ends only its own drain
  virtual void SetDrained(std::string_view reason, bool drained) = 0;
};

struct fenced_order_queue_options {
  std::string lease_key;  ///< of the controller lease of the data centre
  /// The target itself checks who gives an order.
  bool target_checks_authority = false;
  /// After an order without an answer, how long until one of a newer epoch.
  common::duration unanswered_order_delay = std::chrono::seconds(2);
  size_t max_kept_answers = 1024;
};

/// Decides which orders reach the target. It refuses orders of old epochs on
/// behalf of targets that would not, runs one order at a time and each order
/// once. After a restart it reads the lease row before it takes any.
class fenced_order_queue {
 public:
  using answer_handler = std::function<void(const order_answer_message&)>;

  fenced_order_queue(fenced_order_queue_options options, order_target& target,
                     table& rows, common::timer_service& timers)
      : options_(std::move(options)),
        target_(target),
        rows_(rows),
        timers_(timers) {}

  /// Takes an order that a router sent.
  /// @param handler called once, when the order has ended or is refused
  void OnOrder(const order_message& order, answer_handler handler);

  /// @return the highest fencing number seen
  uint64_t highest_fencing_number() const { return highest_; }

 private:
  struct waiting_order {
    order_message order;
    std::vector<answer_handler> handlers;
  };

  void Judge(waiting_order waiting);
  void ReadLease(waiting_order waiting);
  void OnLease(waiting_order waiting, const table_result& answer);
  void Drain(const waiting_order& waiting);
  void Refuse(const waiting_order& waiting, common::result_code code,
              std::string_view reason);
  void RunNext();
  void OnApplied(common::result_code code, std::string_view reason);
  void Keep(const order_answer_message& answer);
  order_answer_message AnswerTo(const order_message& order,
                                common::result_code code,
                                std::string_view reason) const;

  fenced_order_queue_options options_;
  order_target& target_;
  table& rows_;
  common::timer_service& timers_;
  uint64_t highest_ = 0;
  uint64_t sent_epoch_ = 0;  ///< of the last order that reached the target
  bool lease_known_ = false;
  uint64_t lease_epoch_ = 0;
  std::string lease_holder_;
  bool running_ = false;
  bool settling_ = false;
  std::deque<waiting_order> queue_;  ///< the first one runs while running_
  std::map<std::string, order_answer_message> answers_;
  std::deque<std::string> answer_ages_;
};

}  // namespace wisteriadale::core
