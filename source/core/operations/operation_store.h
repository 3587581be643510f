#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "common/clock.h"
#include "common/random.h"
#include "core/ports/table.h"

namespace wisteriadale::core {

enum class operation_state { kNone, kReserved, kDone, kNotRun };

/// The row `operations/{organisation}/{key}`.
struct operation_record {
  operation_state state = operation_state::kNone;
  std::string token;   ///< unique to one dispatch
  std::string digest;  ///< of the caller's request
  std::string request_id;
  std::string target;
  uint64_t incarnation = 0;   ///< of the target's agent
  uint64_t token_window = 0;  ///< of the agent, when the token was made
  std::string router;
  std::string result;  ///< JSON text, once done
  int64_t changed_wall_us = 0;
  std::string settled_by;  ///< operator who settled it by hand
  std::string note;        ///< the operator's reason
  uint64_t version = 0;    ///< of the row; not part of its text
};

std::string EncodeOperation(const operation_record& record);
std::optional<operation_record> DecodeOperation(std::string_view text);
/// @return the table key of an operation
std::string OperationRowKey(std::string_view organisation,
                            std::string_view key);

/// What became of an attempt to reserve an operation.
enum class reserve_status {
  kReserved,         ///< ours to dispatch, once
  kRecorded,         ///< done before; the record holds the result
  kReservedByOther,  ///< reserved under another token
  kKeyReused,        ///< the key belongs to another body
  kTimedOut,         ///< the table did not answer in time
};

struct reserve_result {
  reserve_status status = reserve_status::kTimedOut;
  operation_record record;
};

/// What became of a Settle.
enum class settle_status {
  kSettled,          ///< the row is known to hold the new state
  kVersionMismatch,  ///< the row changed before; the record shows it
  kTimedOut,         ///< the table did not answer in time
};

struct settle_result {
  settle_status status = settle_status::kTimedOut;
  operation_record record;
};

/// Reads and writes operation rows. Every write is conditional and carries a
/// unique token, so a lost answer is settled by reading back.
class operation_store {
 public:
  operation_store(table& rows, common::timer_service& timers,
                  common::clock& clock, common::random_source& random)
      : rows_(rows), timers_(timers), clock_(clock), random_(random) {}

  /// Reserves an operation for one dispatch.
  /// @param wanted  digest, request, target, incarnation, token window, router
  ///                and the version of the row as last read (0: no row); the
  ///                token is made here
  /// @param give_up instant after which no more tries are made
  void Reserve(std::string_view row_key, operation_record wanted,
               common::time_point give_up,
               std::function<void(const reserve_result&)> handler);

  /// Moves a row to kDone or kNotRun if it still has the record's version.
  void Settle(std::string_view row_key, operation_record record,
              common::time_point give_up,
              std::function<void(const settle_result&)> handler);

  /// Reads a row; nothing when the table does not answer.
  void ReadRow(std::string_view row_key,
               std::function<void(std::optional<operation_record>)> handler);

 private:
  struct reservation;
  struct settlement;

  void TryReserve(const std::shared_ptr<reservation>& work);
  void OnReserveAnswer(const std::shared_ptr<reservation>& work,
                       const table_result& answer);
  void OnReserveConflict(const std::shared_ptr<reservation>& work,
                         const operation_record& held);
  void TrySettle(const std::shared_ptr<settlement>& work);
  void OnSettleAnswer(const std::shared_ptr<settlement>& work,
                      const table_result& answer);
  common::duration Backoff(uint32_t tries);

  table& rows_;
  common::timer_service& timers_;
  common::clock& clock_;
  common::random_source& random_;
};

}  // namespace wisteriadale::core
