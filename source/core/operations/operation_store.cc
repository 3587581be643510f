#include "core/operations/operation_store.h"

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>

#include "common/metrics.h"

namespace wisteriadale::core {
namespace {

using nlohmann::json;

constexpr common::duration kInitialRetryDelay = std::chrono::milliseconds(50);
constexpr common::duration kMaxRetryDelay = std::chrono::milliseconds(800);
constexpr const char* kStateNames[] = {"none", "reserved", "done", "not_run"};

operation_state StateFromName(const std::string& name) {
  for (int i = 0; i < 4; ++i) {
    if (name == kStateNames[i]) return static_cast<operation_state>(i);
  }
  return operation_state::kNone;
}

operation_record RecordOf(const table_row& row) {
  if (row.version == 0) return operation_record();
  // A row that cannot be decoded counts as reserved, so it is not overwritten.
  operation_record unreadable;
  unreadable.state = operation_state::kReserved;
  operation_record record = DecodeOperation(row.value).value_or(unreadable);
  if (record.state == operation_state::kNone) record = unreadable;
  record.version = row.version;
  return record;
}

}  // namespace

struct operation_store::reservation {
  std::string row_key;
  operation_record wanted;
  common::time_point deadline;
  std::function<void(const reserve_result&)> handler;
  uint32_t retries = 0;
};

struct operation_store::settlement {
  std::string row_key;
  operation_record record;
  common::time_point deadline;
  std::function<void(const settle_result&)> handler;
  uint32_t retries = 0;
};

std::string EncodeOperation(const operation_record& record) {
  const json row = {{"state", kStateNames[static_cast<int>(record.state)]},
                    {"token", record.token},
                    {"digest", record.digest},
                    {"request_id", record.request_id},
                    {"target", record.target},
                    {"incarnation", record.incarnation},
                    {"token_window", record.token_window},
                    {"router", record.router},
                    {"result", record.result},
                    {"changed_us", record.changed_wall_us},
                    {"settled_by", record.settled_by},
                    {"note", record.note}};
  return row.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<operation_record> DecodeOperation(std::string_view text) {
  const json row = json::parse(text, nullptr, false);
  if (!row.is_object()) return std::nullopt;
  operation_record record;
  record.state = StateFromName(row.value("state", ""));
  record.token = row.value("token", "");
  record.digest = row.value("digest", "");
  record.request_id = row.value("request_id", "");
  record.target = row.value("target", "");
  record.incarnation = row.value("incarnation", uint64_t{0});
  record.token_window = row.value("token_window", uint64_t{0});
  record.settled_by = row.value("settled_by", "");
  record.note = row.value("note", "");
  record.router = row.value("router", "");
  record.result = row.value("result", "");
  record.changed_wall_us = row.value("changed_us", int64_t{0});
  return record;
}

std::string OperationRowKey(std::string_view organisation,
                            std::string_view key) {
  return "operations/" + std::string(organisation) + "/" + std::string(key);
}

void operation_store::Reserve(
    std::string_view row_key, operation_record wanted,
    common::time_point deadline,
    std::function<void(const reserve_result&)> handler) {
  const std::shared_ptr<reservation> work = std::make_shared<reservation>();
  work->row_key = row_key;
  work->wanted = std::move(wanted);
  work->wanted.state = operation_state::kReserved;
  work->wanted.token = random_.HexId();
  work->wanted.changed_wall_us = clock_.WallMicros();
  work->deadline = deadline;
  work->handler = std::move(handler);
  TryReserve(work);
}

common::duration operation_store::Backoff(uint32_t retries) {
  constexpr uint32_t kMaxDoublings = 4;
  const common::duration max_delay =
      std::min(kInitialRetryDelay * (1 << std::min(retries, kMaxDoublings)),
               kMaxRetryDelay);
  // Jitter, so that the end of an outage causes no burst of retries.
  const uint64_t half = static_cast<uint64_t>(max_delay.count()) / 2;
  return max_delay / 2 + common::duration(random_.Below(half));
}

void operation_store::TryReserve(const std::shared_ptr<reservation>& work) {
  if (clock_.Now() >= work->deadline) {
    work->handler(reserve_result());
    return;
  }
  rows_.Write(work->row_key, work->wanted.version,
              EncodeOperation(work->wanted), table_priority::kOperations,
              [this, work](const table_result& answer) {
                OnReserveResult(work, answer);
              });
}

void operation_store::OnReserveResult(const std::shared_ptr<reservation>& work,
                                      const table_result& answer) {
  if (answer.status == table_status::kConflict) {
    OnReserveConflict(work, RecordOf(answer.row));
    return;
  }
  if (answer.status != table_status::kOk) {
    // The write may have taken effect. The same write is retried: if the first
    // one succeeded, the conflict shows our own token.
    timers_.Schedule(Backoff(work->retries++),
                     [this, work] { TryReserve(work); });
    return;
  }
  reserve_result reply;
  reply.status = reserve_status::kReserved;
  reply.record = work->wanted;
  reply.record.version = answer.row.version;
  work->handler(reply);
}

void operation_store::OnReserveConflict(
    const std::shared_ptr<reservation>& work, const operation_record& current) {
  const bool none = current.state == operation_state::kNone;
  if (none || (current.state == operation_state::kNotRun &&
               current.digest == work->wanted.digest)) {
    // If the row was ours and another router revoked it, the token never runs.
    work->wanted.token = random_.HexId();
    work->wanted.version = current.version;
    TryReserve(work);
    return;
  }
  reserve_result reply;
  reply.record = current;
  if (current.token == work->wanted.token &&
      current.state == operation_state::kReserved) {
    reply.status = reserve_status::kReserved;
  } else if (!current.digest.empty() && current.digest != work->wanted.digest) {
    reply.status = reserve_status::kKeyReused;
  } else if (current.state == operation_state::kDone) {
    reply.status = reserve_status::kRecorded;
  } else {
    reply.status = reserve_status::kReservedByOther;
  }
  work->handler(reply);
}

void operation_store::Settle(
    std::string_view row_key, operation_record record,
    common::time_point deadline,
    std::function<void(const settle_result&)> handler) {
  const std::shared_ptr<settlement> work = std::make_shared<settlement>();
  work->row_key = row_key;
  work->record = std::move(record);
  work->record.changed_wall_us = clock_.WallMicros();
  work->deadline = deadline;
  work->handler = std::move(handler);
  TrySettle(work);
}

void operation_store::TrySettle(const std::shared_ptr<settlement>& work) {
  if (clock_.Now() >= work->deadline) {
    common::Metrics().Count("wisteria_operations_unsettled_total");
    work->handler(settle_result());
    return;
  }
  rows_.Write(work->row_key, work->record.version,
              EncodeOperation(work->record), table_priority::kOperations,
              [this, work](const table_result& answer) {
                OnSettleResult(work, answer);
              });
}

void operation_store::OnSettleResult(const std::shared_ptr<settlement>& work,
                                     const table_result& answer) {
  settle_result reply;
  if (answer.status == table_status::kOk) {
    reply.status = settle_status::kSettled;
    reply.record = work->record;
    reply.record.version = answer.row.version;
    work->handler(reply);
    return;
  }
  if (answer.status == table_status::kConflict) {
    reply.record = RecordOf(answer.row);
    // A retried write finds its own effect, or that of another process that
    // settled the same token.
    const bool same = reply.record.token == work->record.token &&
                      reply.record.state == work->record.state;
    reply.status =
        same ? settle_status::kSettled : settle_status::kVersionMismatch;
    work->handler(reply);
    return;
  }
  timers_.Schedule(Backoff(work->retries++), [this, work] { TrySettle(work); });
}

void operation_store::ReadRow(
    std::string_view row_key,
    std::function<void(std::optional<operation_record>)> handler) {
  rows_.Read(row_key, table_priority::kOperations,
             [handler = std::move(handler)](const table_result& answer) {
               if (answer.status != table_status::kOk) {
                 handler(std::nullopt);
                 return;
               }
               handler(RecordOf(answer.row));
             });
}

}  // namespace wisteriadale::core
