#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "common/result_code.h"

namespace wisteriadale::core {

/// An attempt that waits in the queue of its target.
struct queued_attempt {
  std::string id;
  std::string organisation;
  uint32_t weight = 1;  ///< of its organisation
  common::time_point deadline;
  bool deferrable = false;  ///< low priority: may wait, is not refused early
  bool exclusive = false;   ///< no other attempt may run at the same time
};

/// Load of the target, as input for the queue's decisions.
struct queue_load {
  common::time_point now;
  /// Smoothed execution time of an attempt; 0 if unknown.
  common::duration service_time{0};
  /// Time that must remain until an attempt's deadline when it starts; 0 if
  /// unknown.
  common::duration min_remaining{0};
  uint32_t running = 0;  ///< attempts that are executing
  uint32_t limit = 1;    ///< current concurrency limit
};

/// Why an attempt was not accepted into the queue.
struct queue_refusal {
  common::result_code code = common::result_code::kOverloaded;
  std::string reason;
};

/// Queue of a target. Decides which attempts it accepts and in which order they
/// run.
class attempt_queue {
 public:
  virtual ~attempt_queue() = default;
  /// @return the reason to refuse the attempt, or nothing if it may be queued
  virtual std::optional<queue_refusal> Refusal(
      const queued_attempt& attempt, const queue_load& load) const = 0;
  virtual void Push(queued_attempt attempt) = 0;
  /// Removes the attempt that runs next.
  /// @return the attempt, or nothing if the queue is empty
  virtual std::optional<queued_attempt> Pop(const queue_load& load) = 0;
  /// Removes an attempt, whatever its position.
  /// @return false if no attempt with this id is queued
  virtual bool Erase(std::string_view id) = 0;
  /// Removes the attempts whose deadline has passed.
  /// @return the removed attempts
  virtual std::vector<queued_attempt> RemoveExpired(common::time_point now) = 0;
  virtual size_t size() const = 0;
  /// @return expected queueing delay of a new attempt
  virtual common::duration EstimatedWait(const queue_load& load) const = 0;
};

/// @param ahead number of queued attempts that run first
/// @return expected queueing delay behind them, for the current load
common::duration ExpectedWait(size_t ahead, const queue_load& load);

/// Baseline: a bounded FIFO queue. It ignores deadlines and organisations.
class fifo_queue final : public attempt_queue {
 public:
  explicit fifo_queue(size_t capacity) : capacity_(capacity) {}

  std::optional<queue_refusal> Refusal(const queued_attempt& attempt,
                                       const queue_load& load) const override;
  void Push(queued_attempt attempt) override;
  std::optional<queued_attempt> Pop(const queue_load& load) override;
  bool Erase(std::string_view id) override;
  std::vector<queued_attempt> RemoveExpired(common::time_point now) override;
  size_t size() const override { return waiting_.size(); }
  common::duration EstimatedWait(const queue_load& load) const override;

 private:
  size_t capacity_;
  std::deque<queued_attempt> waiting_;
};

}  // namespace wisteriadale::core
