#include "core/operations/in_doubt_resolver.h"

#include "common/log.h"
#include "common/metrics.h"

namespace wisteriadale::core {
namespace {

using common::result_code;

constexpr char kPrefix[] = "operations/";
constexpr uint32_t kPageRows = 500;
constexpr size_t kMaxListed = 1000;
constexpr common::duration kWriteTimeout = std::chrono::seconds(5);
// Longer than agents accept dispatches of a token and than a run may last.
constexpr common::duration kMaxDispatchAge = std::chrono::minutes(5);

}  // namespace

struct in_doubt_resolver::search {
  common::duration min_age{0};
  find_handler handler;
  std::string after;
  std::vector<in_doubt_operation> found;
};

common::duration in_doubt_resolver::AgeOf(
    const operation_record& record) const {
  return common::duration(clock_.WallMicros() - record.changed_wall_us);
}

void in_doubt_resolver::Find(common::duration min_age, find_handler handler) {
  const std::shared_ptr<search> work = std::make_shared<search>();
  work->min_age = min_age;
  work->handler = std::move(handler);
  NextPage(work);
}

void in_doubt_resolver::NextPage(const std::shared_ptr<search>& work) {
  rows_.ListAfter(
      kPrefix, work->after, kPageRows, table_priority::kOther,
      [this, work](const table_list_result& page) { OnPage(work, page); });
}

void in_doubt_resolver::OnPage(const std::shared_ptr<search>& work,
                               const table_list_result& page) {
  if (page.status != table_status::kOk) {
    work->handler(std::nullopt);
    return;
  }
  for (const table_row& row : page.rows) {
    work->after = row.key;
    std::optional<operation_record> record = DecodeOperation(row.value);
    if (!record || record->state != operation_state::kReserved) continue;
    record->version = row.version;
    const common::duration age = AgeOf(*record);
    if (age < work->min_age) continue;
    work->found.push_back({row.key, std::move(*record), age});
  }
  if (page.rows.size() == kPageRows && work->found.size() < kMaxListed) {
    NextPage(work);
    return;
  }
  common::Metrics().Set("wisteria_operations_in_doubt",
                        static_cast<double>(work->found.size()));
  work->handler(std::move(work->found));
}

void in_doubt_resolver::Settle(in_doubt_decision decision,
                               settle_handler handler) {
  const std::string row_key = decision.row_key;
  operations_.ReadRow(row_key, [this, decision = std::move(decision),
                                handler = std::move(handler)](
                                   const std::optional<operation_record>& row) {
    OnRow(decision, row, handler);
  });
}

void in_doubt_resolver::OnRow(const in_doubt_decision& decision,
                              const std::optional<operation_record>& row,
                              const settle_handler& handler) {
  if (!row) {
    handler({result_code::kPlatformUnavailable, "the table does not answer"});
    return;
  }
  if (row->state == operation_state::kNone) {
    handler({result_code::kNotFound, "the operation does not exist", *row});
    return;
  }
  if (row->state != operation_state::kReserved ||
      row->version != decision.version) {
    handler({result_code::kConflict, "the row has changed meanwhile", *row});
    return;
  }
  if (decision.ran) {
    Write(decision, *row, handler);
    return;
  }
  attempts_.Revoke(
      row->target, row->token, row->token_window,
      [this, decision, record = *row, handler](token_status reported) {
        const bool old = AgeOf(record) >= kMaxDispatchAge;
        if (reported == token_status::kNeverRuns || old) {
          Write(decision, record, handler);
          return;
        }
        handler({result_code::kOperationInProgress,
                 reported == token_status::kBegun
                     ? "the agent reports that it was begun; try again later"
                     : "the agent does not answer; try again later",
                 record});
      });
}

void in_doubt_resolver::Write(const in_doubt_decision& decision,
                              operation_record record,
                              const settle_handler& handler) {
  record.state =
      decision.ran ? operation_state::kDone : operation_state::kNotRun;
  record.result = decision.result;
  record.settled_by = decision.operator_name;
  record.note = decision.note;
  common::Log(common::log_channel::kOperations, common::log_level::kWarning,
              "operation of request " + record.request_id + " settled by " +
                  decision.operator_name + " as " +
                  (decision.ran ? "done" : "not run"));
  operations_.Settle(
      decision.row_key, record, clock_.Now() + kWriteTimeout,
      [handler](const settle_result& answer) {
        if (answer.status == settle_status::kSettled) {
          handler({result_code::kOk, "", answer.record});
        } else if (answer.status == settle_status::kVersionMismatch) {
          handler({result_code::kConflict, "the row has changed meanwhile",
                   answer.record});
        } else {
          handler({result_code::kPlatformUnavailable,
                   "it is unknown whether the row was written"});
        }
      });
}

}  // namespace wisteriadale::core
