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

/// State of an operation's row.
enum class operation_state { kNone, kReserved, kDone, kNotRun };

/// The table row `operations/{organisation}/{key}`.
struct operation_record {
  operation_state state = operation_state::kNone;
  std::string token;   ///< unique to one dispatch
  std::string digest;  ///< of the caller's request
  std::string request_id;
  std::string target;
  uint64_t incarnation = 0;   ///< of the target's agent
  uint64_t token_window = 0;  ///< the agent's window when the token was made
  std::string router;
  std::string result;  ///< JSON text, once done
  int64_t changed_wall_us = 0;
  std::string settled_by;  ///< the operator who settled it by hand
  std::string note;        ///< the operator's reason
  uint64_t version = 0;    ///< of the row; not part of its value
};

/// @return the value of an operation's row, JSON text
std::string EncodeOperation(const operation_record& record);
/// @return the record without its version; nothing if the text is not a row's
std::optional<operation_record> DecodeOperation(std::string_view text);
/// @return the table key of an operation
std::string OperationRowKey(std::string_view organisation,
                            std::string_view key);

/// Result of a Reserve.
enum class reserve_status {
  kReserved,         ///< may be dispatched once
  kRecorded,         ///< done before; the record holds the result
  kReservedByOther,  ///< reserved under another token
  kKeyReused,        ///< the key was used with another body
  kTimedOut,         ///< the table did not answer in time
};

struct reserve_result {
  reserve_status status = reserve_status::kTimedOut;
  operation_record record;
};

/// Result of a Settle.
enum class settle_status {
  kSettled,          ///< the row is known to hold the new state
  kVersionMismatch,  ///< the row has changed; the record holds it
  kTimedOut,         ///< the table did not answer in time
};

struct settle_result {
  settle_status status = settle_status::kTimedOut;
  operation_record record;
};

/// Reads and writes operation rows. Every write is conditional and carries a
/// unique token, so that after a lost answer a retry finds out whether the
/// write took effect.
class operation_store {
 public:
  operation_store(table& rows, common::timer_service& timers,
                  common::clock& clock, common::random_source& random)
      : rows_(rows), timers_(timers), clock_(clock), random_(random) {}

  /// Reserves an operation for one dispatch.
  /// @param wanted   digest, request, target, incarnation, token window, router
  ///                 and the version of the row as last read (0: no row); the
  ///                 token is made here
  /// @param deadline time after which the write is not retried
  void Reserve(std::string_view row_key, operation_record wanted,
               common::time_point deadline,
               std::function<void(const reserve_result&)> handler);

  /// Sets a row to kDone or kNotRun if it still has the record's version.
  /// @param deadline time after which the write is not retried
  void Settle(std::string_view row_key, operation_record record,
              common::time_point deadline,
              std::function<void(const settle_result&)> handler);

  /// Reads a row.
  /// @param handler gets no value when the table does not answer
  void ReadRow(std::string_view row_key,
               std::function<void(std::optional<operation_record>)> handler);

 private:
  struct reservation;
  struct settlement;

  void TryReserve(const std::shared_ptr<reservation>& work);
  void OnReserveResult(const std::shared_ptr<reservation>& work,
                       const table_result& answer);
  void OnReserveConflict(const std::shared_ptr<reservation>& work,
                         const operation_record& current);
  void TrySettle(const std::shared_ptr<settlement>& work);
  void OnSettleResult(const std::shared_ptr<settlement>& work,
                      const table_result& answer);
  common::duration Backoff(uint32_t retries);

  table& rows_;
  common::timer_service& timers_;
  common::clock& clock_;
  common::random_source& random_;
};

}  // namespace wisteriadale::core
