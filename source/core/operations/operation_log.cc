#include "core/operations/operation_log.h"

#include <memory>
#include <nlohmann/json.hpp>

#include "common/metrics.h"

namespace wisteriadale::core {
namespace {

using nlohmann::json;

constexpr common::duration kRetryDelay = std::chrono::milliseconds(50);
constexpr const char* kStateNames[] = {"none", "reserved", "done", "not_run"};

operation_state StateFromName(const std::string& name) {
  for (int i = 0; i < 4; ++i) {
    if (name == kStateNames[i]) return static_cast<operation_state>(i);
  }
  return operation_state::kNone;
}

}  // namespace

struct operation_log::reservation {
  std::string row_key;
  operation_record wanted;
  common::time_point give_up;
  std::function<void(const reserve_answer&)> handler;
  uint64_t expected_version = 0;
  bool row_read = false;
};

struct operation_log::settlement {
  std::string row_key;
  operation_record record;
  uint64_t version = 0;
  common::time_point give_up;
  std::function<void(bool)> handler;
};

std::string EncodeOperation(const operation_record& record) {
  const json row = {{"state", kStateNames[static_cast<int>(record.state)]},
                    {"token", record.token},
                    {"digest", record.digest},
                    {"request_id", record.request_id},
                    {"target", record.target},
                    {"incarnation", record.incarnation},
                    {"router", record.router},
                    {"result", record.result},
                    {"changed_us", record.changed_wall_us}};
  return row.dump();
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
  record.router = row.value("router", "");
  record.result = row.value("result", "");
  record.changed_wall_us = row.value("changed_us", int64_t{0});
  return record;
}

std::string OperationRowKey(std::string_view organisation,
                            std::string_view key) {
  return "operations/" + std::string(organisation) + "/" + std::string(key);
}

void operation_log::Reserve(
    std::string_view row_key, operation_record wanted,
    common::time_point give_up,
    std::function<void(const reserve_answer&)> handler) {
  const std::shared_ptr<reservation> work = std::make_shared<reservation>();
  work->row_key = row_key;
  work->wanted = std::move(wanted);
  work->wanted.state = operation_state::kReserved;
  work->wanted.token = random_.HexId();
  work->wanted.changed_wall_us = clock_.WallMicros();
  work->give_up = give_up;
  work->handler = std::move(handler);
  TryReserve(work);
}

void operation_log::TryReserve(const std::shared_ptr<reservation>& work) {
  if (clock_.Now() >= work->give_up) {
    reserve_answer answer;
    answer.status = work->row_read ? reserve_status::kNotReserved
                                   : reserve_status::kNotKnown;
    work->handler(answer);
    return;
  }
  rows_.Write(work->row_key, work->expected_version,
              EncodeOperation(work->wanted), table_priority::kOperations,
              [this, work](const table_answer& answer) {
                OnReserveAnswer(work, answer);
              });
}

void operation_log::OnReserveAnswer(const std::shared_ptr<reservation>& work,
                                    const table_answer& answer) {
  if (answer.status == table_status::kUnavailable ||
      answer.status == table_status::kRefused) {
    // The write may have taken effect. The same write is tried again: if the
    // first one is in, the conflict shows our own token.
    timers_.Schedule(kRetryDelay, [this, work] { TryReserve(work); });
    return;
  }
  work->row_read = true;
  reserve_answer reply;
  reply.version = answer.row.version;
  if (answer.status == table_status::kOk) {
    reply.status = reserve_status::kReserved;
    reply.record = work->wanted;
    work->handler(reply);
    return;
  }
  const operation_record held =
      DecodeOperation(answer.row.value).value_or(operation_record());
  reply.record = held;
  if (held.token == work->wanted.token) {
    reply.status = reserve_status::kReserved;
  } else if (held.digest != work->wanted.digest) {
    reply.status = reserve_status::kKeyReused;
  } else if (held.state == operation_state::kDone) {
    reply.status = reserve_status::kRecorded;
  } else if (held.state == operation_state::kNotRun) {
    work->expected_version = answer.row.version;
    TryReserve(work);
    return;
  } else {
    reply.status = reserve_status::kHeldByOther;
  }
  work->handler(reply);
}

void operation_log::Settle(std::string_view row_key, operation_record record,
                           uint64_t version, common::time_point give_up,
                           std::function<void(bool)> handler) {
  const std::shared_ptr<settlement> work = std::make_shared<settlement>();
  work->row_key = row_key;
  work->record = std::move(record);
  work->record.changed_wall_us = clock_.WallMicros();
  work->version = version;
  work->give_up = give_up;
  work->handler = std::move(handler);
  TrySettle(work);
}

void operation_log::TrySettle(const std::shared_ptr<settlement>& work) {
  if (clock_.Now() >= work->give_up) {
    common::Metrics().Count("wisteria_operations_unsettled_total");
    work->handler(false);
    return;
  }
  rows_.Write(
      work->row_key, work->version, EncodeOperation(work->record),
      table_priority::kOperations, [this, work](const table_answer& answer) {
        if (answer.status == table_status::kOk) {
          work->handler(true);
          return;
        }
        if (answer.status == table_status::kConflict) {
          const operation_record held =
              DecodeOperation(answer.row.value).value_or(operation_record());
          work->handler(held.token == work->record.token &&
                        held.state == work->record.state);
          return;
        }
        timers_.Schedule(kRetryDelay, [this, work] { TrySettle(work); });
      });
}

void operation_log::Look(
    std::string_view row_key,
    std::function<void(std::optional<operation_record>)> handler) {
  rows_.Read(
      row_key, table_priority::kOperations,
      [handler = std::move(handler)](const table_answer& answer) {
        if (answer.status != table_status::kOk) {
          handler(std::nullopt);
          return;
        }
        handler(DecodeOperation(answer.row.value).value_or(operation_record()));
      });
}

}  // namespace wisteriadale::core
