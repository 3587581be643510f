#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "core/ports/row_store.h"
#include "core/quarantine/crash_suspects.h"

namespace wisteriadale::core {

struct suspect_rows_options {
  /// Delay of the row of a first loss: a retry at another target answers most
  /// requests by then, so that they need no row.
  common::duration first_loss_delay = std::chrono::milliseconds(500);
  /// Shortest time between two calls.
  common::duration min_write_interval = std::chrono::milliseconds(250);
  /// First delay after a call that failed; doubles up to max_retry_delay.
  common::duration retry_delay = std::chrono::milliseconds(500);
  common::duration max_retry_delay = std::chrono::seconds(8);
  /// How long a start waits for the rows.
  common::duration max_start_delay = std::chrono::milliseconds(500);
  /// Period at which rows that have expired are removed.
  common::duration sweep_period = std::chrono::seconds(10);
  /// Rows of suspects with a single loss that this process keeps in the store.
  size_t max_first_losses = 100;
  /// Bounds the memory used: some 150 bytes each.
  size_t max_rows = 4000;
};

/// Keeps the counts of suspects as rows of the store, so that they outlive the
/// loss of all gateways: one row for each suspect, written by the gateway that
/// saw the latest loss.
class suspect_rows {
 public:
  /// @param table of the rows
  /// @param requests, parts counts to keep; see crash_suspects
  /// @param cleans_for_others whether this process removes the rows of
  /// processes that have ended, once they expire
  suspect_rows(const suspect_rows_options& options, row_store& store,
               std::string table, crash_suspects& requests,
               crash_suspects& parts, common::clock& clock,
               common::timer_service& timers,
               std::function<bool()> cleans_for_others)
      : options_(options),
        store_(store),
        table_(std::move(table)),
        requests_(requests),
        parts_(parts),
        clock_(clock),
        timers_(timers),
        cleans_for_others_(std::move(cleans_for_others)) {}

  /// Reads the rows, again and again until the store serves them, and then
  /// begins to write.
  /// @param on_ready called once the counts are known, or cannot be read soon
  void Start(std::function<void()> on_ready);

  /// The count of a suspect changed by what this process saw.
  void OnChanged(const std::string& digest);
  /// Another process reported a count that it saw change.
  void OnReportedElsewhere(const crash_report& report);
  /// Writes what waits as soon as possible, as the process is about to stop.
  void WriteSoon();

  /// @return rows that are or may be in the store, or are to be written
  size_t size() const { return rows_.size(); }
  /// @return whether the rows were read
  bool loaded() const { return loaded_; }

 private:
  /// What the store holds, as far as is known here.
  struct row {
    uint32_t stored = 0;      ///< count in the row; 0: there is none
    bool own = false;         ///< this process wrote it last
    bool in_flight = false;   ///< a call that writes it has not ended
    bool due = false;         ///< differs, or may differ, from the count
    common::time_point at{};  ///< when it is written, if it is due
    /// Another process has not written the row before this.
    common::time_point possible_from{};
  };

  crash_suspects& CountsOf(std::string_view digest) const {
    return IsPartDigest(digest) ? parts_ : requests_;
  }
  void Load();
  void OnLoaded(const row_store_result& result);
  /// Takes over the count of a row.
  void Restore(const stored_row& read);
  void BecomeReady();
  /// Makes a row due.
  void Schedule(const std::string& digest, common::duration delay);
  /// Calls Flush when the next row is due.
  void ScheduleFlush();
  /// Writes the rows that are due.
  void Flush();
  /// @param only_repeated passes over suspects with a single loss
  void CollectChanges(bool only_repeated, std::vector<row_change>* changes);
  /// @return the change that a row needs; nothing: none
  std::optional<row_change> ChangeOf(const std::string& digest, row* known);
  void OnWritten(const std::vector<row_change>& changes,
                 const row_store_result& result);
  /// Makes the rows due that have expired.
  void Sweep();
  common::duration NextRetryDelay();
  size_t CountFirstLosses() const;
  std::string Encode(const crash_state& state) const;

  suspect_rows_options options_;
  row_store& store_;
  std::string table_;
  crash_suspects& requests_;
  crash_suspects& parts_;
  common::clock& clock_;
  common::timer_service& timers_;
  std::function<bool()> cleans_for_others_;
  std::function<void()> on_ready_;
  std::map<std::string, row, std::less<>> rows_;  ///< by digest
  /// The store's clock minus this process's; nothing: not known.
  std::optional<common::duration> store_clock_offset_;
  common::time_point next_call_{};
  common::timer_id flush_timer_ = 0;
  uint32_t failures_ = 0;    ///< calls that failed in a row
  size_t first_losses_ = 0;  ///< own rows with a single loss
  bool loaded_ = false;
  bool calling_ = false;
};

}  // namespace wisteriadale::core
