#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string_view>

#include "common/clock.h"
#include "common/random.h"
#include "core/ports/table.h"

namespace wisteriadale::core {

/// This process's share of the platform's calls.
struct table_rate_limit {
  double reads_per_second = 200;
  double writes_per_second = 60;
  double burst_seconds = 1;  ///< unused calls are kept for this long
  /// Calls of lower priority find the budget spent while no more than these
  /// shares of the burst are left.
  double reserved_for_operations = 0.5;
  double reserved_for_configuration = 0.2;  ///< besides the operations' share
  /// Delay of calls while the platform fails: doubled with each failure.
  common::duration initial_backoff = std::chrono::milliseconds(20);
  common::duration max_backoff = std::chrono::seconds(2);
};

/// Calls of one kind that may be made, refilled at a constant rate.
class token_bucket {
 public:
  token_bucket(double per_second, double burst_seconds, common::time_point now)
      : per_second_(per_second),
        capacity_(per_second * burst_seconds),
        left_(capacity_),
        filled_at_(now) {}

  /// @param kept share of the capacity that this call may not touch
  /// @return whether the call may be made; it is then paid for
  bool TryAcquire(common::time_point now, double kept);

 private:
  double per_second_;
  double capacity_;
  double left_;
  common::time_point filled_at_;
};

/// Keeps a process's calls to the table under a budget that its priorities
/// share, and spreads them out while the platform fails. A call that the budget
/// does not allow ends as kRefused and is not sent.
class rate_limited_table final : public table {
 public:
  rate_limited_table(table& inner, const table_rate_limit& budget,
                     common::clock& clock, common::timer_service& timers,
                     common::random_source& random);

  void Read(std::string_view key, table_priority priority,
            table_handler handler) override;
  void Write(std::string_view key, uint64_t expected_version,
             std::string_view value, table_priority priority,
             table_handler handler) override;
  void WriteBatch(const std::vector<table_write>& writes,
                  table_priority priority,
                  table_batch_handler handler) override;
  void List(std::string_view prefix, uint32_t limit, table_priority priority,
            table_list_handler handler) override;
  void ListAfter(std::string_view prefix, std::string_view after,
                 uint32_t limit, table_priority priority,
                 table_list_handler handler) override;

  /// @return calls without an answer since the last answer
  uint32_t failures() const { return failures_; }

 private:
  /// @return the share of the budget that a priority leaves to higher ones
  double KeptFrom(table_priority priority) const;
  /// @return how long a call waits, so that a failing platform is not pressed
  common::duration Backoff();
  /// Sends a call, at once or after the backoff.
  void Submit(std::function<void()> send);
  void Answered(table_status status);

  table& inner_;
  table_rate_limit budget_;
  common::clock& clock_;
  common::timer_service& timers_;
  common::random_source& random_;
  token_bucket reads_;
  token_bucket writes_;
  uint32_t failures_ = 0;
};

}  // namespace wisteriadale::core
