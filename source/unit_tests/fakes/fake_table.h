#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "common/clock.h"
#include "common/random.h"
#include "core/ports/table.h"

namespace wisteriadale::fakes {

/// In-memory table of the platform that can simulate outages, delays, lost
/// replies and late writes.
class fake_table final : public core::table {
 public:
  fake_table(common::timer_service& timers, common::random_source& random)
      : timers_(timers), random_(random) {}

  bool down = false;             ///< writes have no effect; all calls time out
  double lost_answer_share = 0;  ///< of writes: applied, but time out
  double late_write_share = 0;   ///< of writes: time out, applied later
  /// Before the reply of a call that succeeds.
  common::duration delay = std::chrono::milliseconds(1);
  /// Before a call without a reply fails as kUnavailable.
  common::duration timeout = std::chrono::milliseconds(200);
  /// Before a late write is applied.
  common::duration late_write_delay = std::chrono::milliseconds(500);
  uint64_t reads = 0;   ///< calls of Read, List and ListAfter
  uint64_t writes = 0;  ///< calls of Write and WriteBatch

  void Read(std::string_view key, core::table_priority,
            core::table_handler handler) override {
    ++reads;
    if (down) return ReplyAfter(timeout, {}, std::move(handler));
    timers_.Schedule(delay, [this, key = std::string(key), handler] {
      handler({core::table_status::kOk, RowOf(key)});
    });
  }

  void Write(std::string_view key, uint64_t expected_version,
             std::string_view value, core::table_priority,
             core::table_handler handler) override {
    ++writes;
    if (down) return ReplyAfter(timeout, {}, std::move(handler));
    const std::string name(key);
    const std::string text(value);
    if (random_.Uniform() < late_write_share) {
      timers_.Schedule(late_write_delay, [this, name, expected_version, text] {
        Apply(name, expected_version, text);
      });
      return ReplyAfter(timeout, {}, std::move(handler));
    }
    if (random_.Uniform() < lost_answer_share) {
      Apply(name, expected_version, text);
      return ReplyAfter(timeout, {}, std::move(handler));
    }
    timers_.Schedule(delay, [this, name, expected_version, text, handler] {
      handler(Apply(name, expected_version, text));
    });
  }

  /// Counts as a single write; the batch is lost or late as a whole.
  void WriteBatch(const std::vector<core::table_write>& batch,
                  core::table_priority,
                  core::table_batch_handler handler) override {
    ++writes;
    const std::vector<core::table_result> no_results(batch.size());
    const bool late = !down && random_.Uniform() < late_write_share;
    if (late) {
      timers_.Schedule(late_write_delay, [this, batch] { ApplyAll(batch); });
    }
    const bool lost = !late && random_.Uniform() < lost_answer_share;
    if (!down && lost) ApplyAll(batch);
    if (down || late || lost) {
      timers_.Schedule(timeout, [no_results, handler] { handler(no_results); });
      return;
    }
    timers_.Schedule(delay,
                     [this, batch, handler] { handler(ApplyAll(batch)); });
  }

  void List(std::string_view prefix, uint32_t limit,
            core::table_priority priority,
            core::table_list_handler handler) override {
    ListAfter(prefix, "", limit, priority, std::move(handler));
  }

  void ListAfter(std::string_view prefix, std::string_view after,
                 uint32_t limit, core::table_priority,
                 core::table_list_handler handler) override {
    ++reads;
    core::table_list_result result;
    if (!down) {
      result.status = core::table_status::kOk;
      for (const auto& [key, row] : rows) {
        if (!key.starts_with(prefix) || result.rows.size() >= limit) continue;
        if (key <= after) continue;
        result.rows.push_back(row);
      }
    }
    timers_.Schedule(
        down ? timeout : delay,
        [result, handler = std::move(handler)] { handler(result); });
  }

  /// @return the stored row, or one with version 0 when there is none
  core::table_row RowOf(const std::string& key) const {
    const auto found = rows.find(key);
    if (found != rows.end()) return found->second;
    core::table_row missing;
    missing.key = key;
    return missing;
  }

  std::map<std::string, core::table_row> rows;  ///< by key

 private:
  core::table_result Apply(const std::string& key, uint64_t expected_version,
                           const std::string& value) {
    const core::table_row before = RowOf(key);
    if (before.version != expected_version) {
      return {core::table_status::kConflict, before};
    }
    rows[key] = {key, value, expected_version + 1};
    return {core::table_status::kOk, rows[key]};
  }

  std::vector<core::table_result> ApplyAll(
      const std::vector<core::table_write>& batch) {
    std::vector<core::table_result> results;
    results.reserve(batch.size());
    for (const core::table_write& write : batch) {
      results.push_back(Apply(write.key, write.expected_version, write.value));
    }
    return results;
  }

  void ReplyAfter(common::duration after, core::table_result result,
                  core::table_handler handler) {
    timers_.Schedule(
        after, [result = std::move(result), handler = std::move(handler)] {
          handler(result);
        });
  }

  common::timer_service& timers_;
  common::random_source& random_;
};

}  // namespace wisteriadale::fakes
