#pragma once

#include <map>
#include <memory>
#include <string>

#include "common/clock.h"
#include "common/random.h"
#include "core/lease/lease_record.h"
#include "core/ports/table.h"

namespace wisteriadale::core {

/// Which lease is kept, by whom and for how long.
struct lease_keeper_options {
  std::string key;     ///< of the lease row
  std::string holder;  ///< name of this process
  /// Time without a change of the row after which others may take the lease.
  common::duration term = std::chrono::seconds(9);
};

/// Acquires and renews a lease that is stored as a table row. The holder treats
/// it as valid for two thirds of the term, counted from when it sent the write;
/// other processes take it over only after the row has not changed for a whole
/// term. Each process measures this on its own clock, which also counts
/// suspended time, so that clocks need not be synchronised.
class lease_keeper {
 public:
  lease_keeper(lease_keeper_options options, table& rows,
               common::timer_service& timers, common::clock& clock,
               common::random_source& random)
      : options_(std::move(options)),
        rows_(rows),
        timers_(timers),
        clock_(clock),
        random_(random) {}
  ~lease_keeper() { timers_.Cancel(renewal_timer_); }
  lease_keeper(const lease_keeper&) = delete;
  lease_keeper& operator=(const lease_keeper&) = delete;

  /// @param contending whether to acquire the lease when it is free; a lease
  /// that this process already holds is renewed either way
  void SetContending(bool contending);
  /// Reads the row to learn the current holder, for a process that does not
  /// contend. Does nothing while this process holds the lease or a table call
  /// is in progress.
  void ReadHolder() {
    if (!call_in_progress_ && !Held()) ReadRow();
  }
  /// Releases the lease, so that another process need not wait for it to
  /// expire. This object never holds the lease again.
  void Release();

  /// @return whether this process may act as the holder now
  bool Held() const { return !released_ && clock_.Now() < valid_until_; }
  /// @return the fencing number, valid while Held
  uint64_t epoch() const { return epoch_; }
  /// @return the holder that the row named when it was last read or written
  const std::string& last_seen_holder() const { return last_seen_holder_; }

 private:
  /// Renews a held lease or, when contending, reads the row; schedules itself.
  void RenewOrRead();
  void ReadRow();
  void OnRowRead(const table_result& result);
  void WriteRow(uint64_t epoch, const std::string& holder);
  /// Extends the validity to two thirds of the term after an own write was
  /// sent.
  void ExtendValidity(const lease_record& record);

  lease_keeper_options options_;
  table& rows_;
  common::timer_service& timers_;
  common::clock& clock_;
  common::random_source& random_;
  // Table calls may complete after this object is destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  bool contending_ = false;
  bool released_ = false;
  bool call_in_progress_ = false;
  common::timer_id renewal_timer_ = 0;
  common::time_point valid_until_;
  uint64_t epoch_ = 0;
  std::string last_seen_holder_;
  uint64_t row_version_ = 0;
  bool row_read_ = false;
  common::time_point unchanged_since_;
  std::map<std::string, common::time_point> sent_writes_;  ///< time, by token
};

}  // namespace wisteriadale::core
