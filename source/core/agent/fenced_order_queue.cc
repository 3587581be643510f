#include "core/agent/fenced_order_queue.h"

#include <algorithm>

#include "common/invariant.h"
#include "common/log.h"
#include "common/metrics.h"
#include "core/lease/lease_record.h"

namespace wisteriadale::core {
namespace {

using common::result_code;

constexpr std::string_view kDrain = "drain";
constexpr std::string_view kUndrain = "undrain";

bool IsDrainKind(const order_message& order) {
  return order.kind == kDrain || order.kind == kUndrain;
}

}  // namespace

void fenced_order_queue::OnOrder(const order_message& order,
                                 answer_handler handler) {
  const auto ended = answers_.find(order.order_id);
  if (ended != answers_.end()) {
    handler(ended->second);
    return;
  }
  for (waiting_order& waiting : queue_) {
    if (waiting.order.order_id != order.order_id) continue;
    waiting.handlers.push_back(std::move(handler));
    return;
  }
  Judge({order, {std::move(handler)}});
}

void fenced_order_queue::Judge(waiting_order waiting) {
  const order_message& order = waiting.order;
  // Drains act on this process only and work while the platform is down.
  if (IsDrainKind(order)) {
    Drain(waiting);
    return;
  }
  if (order.fencing_number == 0) {
    Refuse(waiting, result_code::kBadRequest,
           "the order has no fencing number");
    return;
  }
  if (order.fencing_number < highest_) {
    Refuse(waiting, result_code::kStaleOrder, "a newer epoch was seen");
    return;
  }
  if (!lease_known_ || order.fencing_number > lease_epoch_) {
    ReadLease(std::move(waiting));
    return;
  }
  if (!options_.target_checks_authority && order.authority != lease_holder_) {
    Refuse(waiting, result_code::kForbidden,
           order.authority + " does not hold the controller lease");
    return;
  }
  highest_ = order.fencing_number;
  queue_.push_back(std::move(waiting));
  RunNext();
}

void fenced_order_queue::ReadLease(waiting_order waiting) {
  rows_.Read(options_.lease_key, table_priority::kConfiguration,
             [this, waiting = std::move(waiting)](const table_result& answer) {
               OnLease(waiting, answer);
             });
}

void fenced_order_queue::OnLease(waiting_order waiting,
                                 const table_result& answer) {
  if (answer.status != table_status::kOk) {
    Refuse(waiting, result_code::kPlatformUnavailable,
           "the lease row cannot be read");
    return;
  }
  const lease_record record =
      DecodeLease(answer.row.value).value_or(lease_record());
  lease_known_ = true;
  if (record.epoch >= lease_epoch_) {
    lease_epoch_ = record.epoch;
    lease_holder_ = record.holder;
  }
  highest_ = std::max(highest_, lease_epoch_);
  if (waiting.order.fencing_number > lease_epoch_) {
    Refuse(waiting, result_code::kForbidden, "no lease has this epoch");
    return;
  }
  // The same order may have been taken while the row was read.
  const order_message order = waiting.order;
  for (answer_handler& handler : waiting.handlers) {
    OnOrder(order, std::move(handler));
  }
}

void fenced_order_queue::Drain(const waiting_order& waiting) {
  target_.SetDrained(waiting.order.authority, waiting.order.kind == kDrain);
  Refuse(waiting, result_code::kOk, "");
}

void fenced_order_queue::Refuse(const waiting_order& waiting, result_code code,
                                std::string_view reason) {
  common::Metrics().Count("wisteria_orders_total",
                          {{"code", common::Describe(code).name}});
  const order_answer_message answer = AnswerTo(waiting.order, code, reason);
  if (code == result_code::kOk) Keep(answer);
  for (const answer_handler& handler : waiting.handlers) handler(answer);
}

void fenced_order_queue::RunNext() {
  if (running_ || queue_.empty()) return;
  const order_message& order = queue_.front().order;
  if (order.fencing_number < highest_) {
    const waiting_order late = std::move(queue_.front());
    queue_.pop_front();
    Refuse(late, result_code::kStaleOrder, "a newer epoch was seen");
    RunNext();
    return;
  }
  // An order without an answer may still be on its way to the target.
  if (settling_ && order.fencing_number > sent_epoch_) return;
  common::CheckInvariant(order.fencing_number >= sent_epoch_,
                         "orders_never_step_back", order.order_id);
  sent_epoch_ = order.fencing_number;
  running_ = true;
  target_.Apply(order, [this](result_code code, std::string_view reason) {
    OnApplied(code, reason);
  });
}

void fenced_order_queue::OnApplied(result_code code, std::string_view reason) {
  running_ = false;
  const waiting_order ended = std::move(queue_.front());
  queue_.pop_front();
  const order_answer_message answer = AnswerTo(ended.order, code, reason);
  common::Metrics().Count("wisteria_orders_total",
                          {{"code", common::Describe(code).name}});
  Keep(answer);
  if (code == result_code::kTargetLost) {
    settling_ = true;
    timers_.Schedule(options_.unanswered_order_delay, [this] {
      settling_ = false;
      RunNext();
    });
  }
  for (const answer_handler& handler : ended.handlers) handler(answer);
  RunNext();
}

void fenced_order_queue::Keep(const order_answer_message& answer) {
  const bool added = answers_.emplace(answer.order_id, answer).second;
  if (!added) return;
  answer_ages_.push_back(answer.order_id);
  if (answer_ages_.size() <= options_.max_kept_answers) return;
  answers_.erase(answer_ages_.front());
  answer_ages_.pop_front();
}

order_answer_message fenced_order_queue::AnswerTo(
    const order_message& order, result_code code,
    std::string_view reason) const {
  order_answer_message answer;
  answer.order_id = order.order_id;
  answer.code = code;
  answer.reason = reason;
  answer.fencing_number = highest_;
  return answer;
}

}  // namespace wisteriadale::core
