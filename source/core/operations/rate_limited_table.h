#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string_view>

#include "common/clock.h"
#include "common/random.h"
#include "core/ports/table.h"

namespace wisteriadale::core {

/// Rate limits of this process's calls to the platform, and their back-off.
struct table_rate_limit {
  double reads_per_second = 200;
  double writes_per_second = 60;
  double burst_seconds = 1;  ///< the bucket holds this many seconds' tokens
  /// Shares of the bucket's capacity that calls of lower priority may not
  /// use.
  double reserved_for_operations = 0.5;
  double reserved_for_configuration = 0.2;  ///< besides the operations' share
  /// Back-off of calls while the platform fails: doubled with each failure.
  common::duration initial_backoff = std::chrono::milliseconds(20);
  common::duration max_backoff = std::chrono::seconds(2);
};

/// A token bucket, refilled at a constant rate; each call takes one token.
class token_bucket {
 public:
  token_bucket(double per_second, double burst_seconds, common::time_point now)
      : per_second_(per_second),
        capacity_(per_second * burst_seconds),
        tokens_(capacity_),
        last_refill_(now) {}

  /// @param reserved share of the capacity that this call may not use
  /// @return whether a token was taken, so that the call may be made
  bool TryAcquire(common::time_point now, double reserved);

 private:
  double per_second_;
  double capacity_;
  double tokens_;
  common::time_point last_refill_;
};

/// Limits the rate of a process's calls to the table, with shares reserved for
/// higher priorities, and backs off while the platform fails. A call above the
/// limit ends as kRefused and is not sent.
class rate_limited_table final : public table {
 public:
  rate_limited_table(table& inner, const table_rate_limit& rate_limit,
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

  /// @return the number of calls without an answer since the last answer
  uint32_t failures() const { return failures_; }

 private:
  /// @return the share of the capacity reserved for higher priorities
  double ReservedForHigher(table_priority priority) const;
  /// @return the delay of a call, so that a failing platform is not overloaded
  common::duration Backoff();
  /// Sends a call, at once or after the back-off.
  void Submit(std::function<void()> send);
  void OnAnswer(table_status status);

  table& inner_;
  table_rate_limit rate_limit_;
  common::clock& clock_;
  common::timer_service& timers_;
  common::random_source& random_;
  token_bucket reads_;
  token_bucket writes_;
  uint32_t failures_ = 0;
};

}  // namespace wisteriadale::core
