#include "core/admission/attempt_queue.h"

#include <algorithm>

namespace wisteriadale::core {

common::duration ExpectedWait(size_t ahead, const queue_load& load) {
  const uint32_t limit = std::max(load.limit, 1U);
  if (load.running + ahead < limit) return common::duration::zero();
  // Each running attempt that ends frees a slot for the next one.
  const size_t completions = load.running + ahead - limit + 1;
  return load.service_time * static_cast<int64_t>(completions) / limit;
}

std::optional<queue_refusal> fifo_queue::Refusal(const queued_attempt&,
                                                 const queue_load&) const {
  if (waiting_.size() < capacity_) return std::nullopt;
  return queue_refusal{common::result_code::kOverloaded, "the queue is full"};
}

void fifo_queue::Push(queued_attempt attempt) {
  waiting_.push_back(std::move(attempt));
}

std::optional<queued_attempt> fifo_queue::Pop(const queue_load&) {
  if (waiting_.empty()) return std::nullopt;
  queued_attempt next = std::move(waiting_.front());
  waiting_.pop_front();
  return next;
}

bool fifo_queue::Erase(std::string_view id) {
  return std::erase_if(waiting_, [id](const queued_attempt& attempt) {
           return attempt.id == id;
         }) > 0;
}

std::vector<queued_attempt> fifo_queue::RemoveExpired(common::time_point now) {
  std::vector<queued_attempt> expired;
  for (const queued_attempt& attempt : waiting_) {
    if (attempt.deadline <= now) expired.push_back(attempt);
  }
  std::erase_if(waiting_, [now](const queued_attempt& attempt) {
    return attempt.deadline <= now;
  });
  return expired;
}

common::duration fifo_queue::EstimatedWait(const queue_load& load) const {
  return ExpectedWait(waiting_.size(), load);
}

}  // namespace wisteriadale::core
