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
  for (pending_order& pending : queue_) {
    if (pending.order.order_id != order.order_id) continue;
    pending.handlers.push_back(std::move(handler));
    return;
  }
  Validate({order, {std::move(handler)}});
}

void fenced_order_queue::Validate(pending_order pending) {
  const order_message& order = pending.order;
  // Drains act on this process only and must work while the platform is down.
  if (IsDrainKind(order)) {
    Drain(pending);
    return;
  }
  if (order.fencing_number == 0) {
    Answer(pending, result_code::kBadRequest,
           "the order has no fencing number");
    return;
  }
  if (order.fencing_number < highest_fencing_number_) {
    Answer(pending, result_code::kStaleOrder, "a newer epoch was seen");
    return;
  }
  if (!lease_known_ || order.fencing_number > lease_epoch_) {
    ReadLease(std::move(pending));
    return;
  }
  if (!options_.target_checks_authority && order.authority != lease_holder_) {
    Answer(pending, result_code::kForbidden,
           order.authority + " does not hold the controller lease");
    return;
  }
  highest_fencing_number_ = order.fencing_number;
  queue_.push_back(std::move(pending));
  RunNext();
}

void fenced_order_queue::ReadLease(pending_order pending) {
  rows_.Read(options_.lease_key, table_priority::kConfiguration,
             [this, pending = std::move(pending)](const table_result& answer) {
               OnLease(pending, answer);
             });
}

void fenced_order_queue::OnLease(pending_order pending,
                                 const table_result& answer) {
  if (answer.status != table_status::kOk) {
    Answer(pending, result_code::kPlatformUnavailable,
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
  highest_fencing_number_ = std::max(highest_fencing_number_, lease_epoch_);
  if (pending.order.fencing_number > lease_epoch_) {
    Answer(pending, result_code::kForbidden, "no lease has this epoch");
    return;
  }
  // The same order may have been accepted while the row was read.
  const order_message order = pending.order;
  for (answer_handler& handler : pending.handlers) {
    OnOrder(order, std::move(handler));
  }
}

void fenced_order_queue::Drain(const pending_order& pending) {
  target_.SetDrained(pending.order.authority, pending.order.kind == kDrain);
  Answer(pending, result_code::kOk, "");
}

void fenced_order_queue::Answer(const pending_order& pending, result_code code,
                                std::string_view reason) {
  common::Metrics().Count("wisteria_orders_total",
                          {{"code", common::Describe(code).name}});
  const order_answer_message answer = AnswerTo(pending.order, code, reason);
  if (code == result_code::kOk) StoreAnswer(answer);
  for (const answer_handler& handler : pending.handlers) handler(answer);
}

void fenced_order_queue::RunNext() {
  if (running_ || queue_.empty()) return;
  const order_message& order = queue_.front().order;
  if (order.fencing_number < highest_fencing_number_) {
    const pending_order stale = std::move(queue_.front());
    queue_.pop_front();
    Answer(stale, result_code::kStaleOrder, "a newer epoch was seen");
    RunNext();
    return;
  }
  // An order without an answer may still be in flight to the target.
  if (unanswered_ && order.fencing_number > sent_epoch_) return;
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
  const pending_order ended = std::move(queue_.front());
  queue_.pop_front();
  const order_answer_message answer = AnswerTo(ended.order, code, reason);
  common::Metrics().Count("wisteria_orders_total",
                          {{"code", common::Describe(code).name}});
  StoreAnswer(answer);
  if (code == result_code::kTargetLost) {
    unanswered_ = true;
    timers_.Schedule(options_.unanswered_order_delay, [this] {
      unanswered_ = false;
      RunNext();
    });
  }
  for (const answer_handler& handler : ended.handlers) handler(answer);
  RunNext();
}

void fenced_order_queue::StoreAnswer(const order_answer_message& answer) {
  const bool added = answers_.emplace(answer.order_id, answer).second;
  if (!added) return;
  answer_order_.push_back(answer.order_id);
  if (answer_order_.size() <= options_.max_kept_answers) return;
  answers_.erase(answer_order_.front());
  answer_order_.pop_front();
}

order_answer_message fenced_order_queue::AnswerTo(
    const order_message& order, result_code code,
    std::string_view reason) const {
  order_answer_message answer;
  answer.order_id = order.order_id;
  answer.code = code;
  answer.reason = reason;
  answer.fencing_number = highest_fencing_number_;
  return answer;
}

}  // namespace wisteriadale::core
