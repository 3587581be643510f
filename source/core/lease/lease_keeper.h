#pragma once

#include <map>
#include <memory>
#include <string>

#include "common/clock.h"
#include "common/random.h"
#include "core/lease/lease_record.h"
#include "core/ports/table.h"

namespace wisteriadale::core {

struct lease_keeper_options {
  std::string key;     ///< of the row
  std::string holder;  ///< name of this process
  common::duration term = std::chrono::seconds(9);
};

/// Takes and renews a lease. The holder believes in it for two thirds of the
/// term from when it sent the write; others wait for a whole term in which the
/// row did not change. Both are measured on each process's own clock, which
/// counts suspended time, so clocks need not agree.
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
  ~lease_keeper() { timers_.Cancel(tick_timer_); }
  lease_keeper(const lease_keeper&) = delete;
  lease_keeper& operator=(const lease_keeper&) = delete;

  /// @param contending whether to take the lease when it is free; one that is
  /// held is kept
  void SetContending(bool contending);
  /// Reads who holds the lease, for a process that does not contend.
  void ReadHolder() {
    if (!busy_ && !Held()) ReadRow();
  }
  /// Gives the lease up, so that another process need not wait.
  void Release();

  /// @return whether this process may act as the holder now
  bool Held() const { return !released_ && clock_.Now() < valid_until_; }
  /// @return the fencing number while Held
  uint64_t epoch() const { return epoch_; }
  /// @return the holder that the row named when it was last read
  const std::string& last_seen_holder() const { return last_seen_holder_; }

 private:
  void Tick();
  void ReadRow();
  void OnRow(const table_result& answer);
  void WriteRow(uint64_t epoch, const std::string& holder);
  void Believe(const lease_record& record);

  lease_keeper_options options_;
  table& rows_;
  common::timer_service& timers_;
  common::clock& clock_;
  common::random_source& random_;
  // Answers may come after this object is gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  bool contending_ = false;
  bool released_ = false;
  bool busy_ = false;
  common::timer_id tick_timer_ = 0;
  common::time_point valid_until_;
  uint64_t epoch_ = 0;
  std::string last_seen_holder_;
  uint64_t row_version_ = 0;
  bool row_seen_ = false;
  common::time_point unchanged_since_;
  std::map<std::string, common::time_point> sent_;  ///< by token
};

}  // namespace wisteriadale::core
