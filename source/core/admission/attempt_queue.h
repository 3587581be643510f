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

/// An attempt that waits for its target.
struct queued_attempt {
  std::string id;
  std::string organisation;
  uint32_t weight = 1;  ///< share of its organisation
  common::time_point deadline;
  bool deferrable = false;
  bool exclusive = false;  ///< nothing may run beside it
};

/// The state of the target that a queue's decisions depend on.
struct queue_load {
  common::time_point now;
  common::duration service_time{
      0};  ///< smoothed time on the target; 0: not known
  /// Time that an attempt must have left when it begins; 0: not known.
  common::duration min_remaining{0};
  uint32_t running = 0;
  uint32_t limit = 1;
};

/// Why an attempt is not queued.
struct queue_refusal {
  common::result_code code = common::result_code::kOverloaded;
  std::string reason;
};

/// The attempts that wait for a target, and the order in which they run.
class attempt_queue {
 public:
  virtual ~attempt_queue() = default;
  /// @return why the attempt must not be queued, or nothing
  virtual std::optional<queue_refusal> Refusal(
      const queued_attempt& attempt, const queue_load& load) const = 0;
  virtual void Push(queued_attempt attempt) = 0;
  /// @return the attempt whose turn it is, taken out; nothing when empty
  virtual std::optional<queued_attempt> Pop(const queue_load& load) = 0;
  /// Takes out an attempt before its turn.
  virtual bool Erase(std::string_view id) = 0;
  /// Takes out the attempts whose deadline has passed.
  virtual std::vector<queued_attempt> RemoveExpired(common::time_point now) = 0;
  virtual size_t size() const = 0;
  /// @return how long a new attempt would wait
  virtual common::duration EstimatedWait(const queue_load& load) const = 0;
};

/// @return the time until `ahead` attempts have begun
common::duration ExpectedWait(size_t ahead, const queue_load& load);

/// Baseline: first in, first out, with a bound on its length.
class fifo_queue final : public attempt_queue {
 public:
  explicit fifo_queue(size_t bound) : bound_(bound) {}

  std::optional<queue_refusal> Refusal(const queued_attempt& attempt,
                                       const queue_load& load) const override;
  void Push(queued_attempt attempt) override;
  std::optional<queued_attempt> Pop(const queue_load& load) override;
  bool Erase(std::string_view id) override;
  std::vector<queued_attempt> RemoveExpired(common::time_point now) override;
  size_t size() const override { return waiting_.size(); }
  common::duration EstimatedWait(const queue_load& load) const override;

 private:
  size_t bound_;
  std::deque<queued_attempt> waiting_;
};

}  // namespace wisteriadale::core
