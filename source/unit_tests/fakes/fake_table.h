#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "common/clock.h"
#include "common/random.h"
#include "core/ports/table.h"

namespace wisteriadale::fakes {

/// The platform's table in memory, with outages, delays and lost answers.
class fake_table final : public core::table {
 public:
  fake_table(common::timer_service& timers, common::random_source& random)
      : timers_(timers), random_(random) {}

  bool down = false;             ///< nothing takes effect or is answered
  double lost_answer_share = 0;  ///< takes effect, is not answered
  double late_write_share = 0;   ///< unanswered, and takes effect later
  common::duration delay = std::chrono::milliseconds(1);
  common::duration timeout = std::chrono::milliseconds(200);
  common::duration late_write_delay = std::chrono::milliseconds(500);
  uint64_t reads = 0;
  uint64_t writes = 0;

  void Read(std::string_view key, core::table_priority,
            core::table_handler handler) override {
    ++reads;
    if (down) return AnswerLater(timeout, {}, std::move(handler));
    timers_.Schedule(delay, [this, key = std::string(key), handler] {
      handler({core::table_status::kOk, RowOf(key)});
    });
  }

  void Write(std::string_view key, uint64_t expected_version,
             std::string_view value, core::table_priority,
             core::table_handler handler) override {
    ++writes;
    if (down) return AnswerLater(timeout, {}, std::move(handler));
    const std::string name(key);
    const std::string text(value);
    if (random_.Uniform() < late_write_share) {
      timers_.Schedule(late_write_delay, [this, name, expected_version, text] {
        Apply(name, expected_version, text);
      });
      return AnswerLater(timeout, {}, std::move(handler));
    }
    if (random_.Uniform() < lost_answer_share) {
      Apply(name, expected_version, text);
      return AnswerLater(timeout, {}, std::move(handler));
    }
    timers_.Schedule(delay, [this, name, expected_version, text, handler] {
      handler(Apply(name, expected_version, text));
    });
  }

  /// One write of the service; the batch is lost or late as a whole.
  void WriteBatch(const std::vector<core::table_write>& batch,
                  core::table_priority,
                  core::table_batch_handler handler) override {
    ++writes;
    const std::vector<core::table_result> none(batch.size());
    const bool late = !down && random_.Uniform() < late_write_share;
    if (late) {
      timers_.Schedule(late_write_delay, [this, batch] { ApplyAll(batch); });
    }
    const bool lost = !late && random_.Uniform() < lost_answer_share;
    if (!down && lost) ApplyAll(batch);
    if (down || late || lost) {
      timers_.Schedule(timeout, [none, handler] { handler(none); });
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
    core::table_list_result answer;
    if (!down) {
      answer.status = core::table_status::kOk;
      for (const auto& [key, row] : rows) {
        if (!key.starts_with(prefix) || answer.rows.size() >= limit) continue;
        if (key <= after) continue;
        answer.rows.push_back(row);
      }
    }
    timers_.Schedule(
        down ? timeout : delay,
        [answer, handler = std::move(handler)] { handler(answer); });
  }

  core::table_row RowOf(const std::string& key) const {
    const auto found = rows.find(key);
    if (found != rows.end()) return found->second;
    core::table_row missing;
    missing.key = key;
    return missing;
  }

  std::map<std::string, core::table_row> rows;

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
    std::vector<core::table_result> answers;
    answers.reserve(batch.size());
    for (const core::table_write& write : batch) {
      answers.push_back(Apply(write.key, write.expected_version, write.value));
    }
    return answers;
  }

  void AnswerLater(common::duration after, core::table_result answer,
                   core::table_handler handler) {
    timers_.Schedule(
        after, [answer = std::move(answer), handler = std::move(handler)] {
          handler(answer);
        });
  }

  common::timer_service& timers_;
  common::random_source& random_;
};

}  // namespace wisteriadale::fakes
