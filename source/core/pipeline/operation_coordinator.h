#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "common/clock.h"
#include "core/operations/operation_store.h"
#include "core/pipeline/attempt_table.h"

namespace wisteriadale::core {

/// Whether a request's non-idempotent stage ran, as far as its caller can rely
/// on it.
enum class execution_status {
  kDone,     ///< the stage ran, or the request had none and completed
  kNotRun,   ///< the stage did not run and never will for this request;
             ///< idempotent stages may have run, and a retry is safe
  kUnknown,  ///< the stage may have run, or may be running
};

/// Receives the state changes of an operation's row.
class operation_observer {
 public:
  virtual ~operation_observer() = default;
  /// No operation holds the row: the request may reserve it.
  virtual void OnOperationFree() = 0;
  /// The row is reserved: the operation may be dispatched once.
  virtual void OnOperationReserved(const operation_record& reservation) = 0;
  /// The operation is done; takes its recorded result.
  virtual void OnOperationRecorded(const std::string& result) = 0;
  /// The idempotency key was used with another request body.
  virtual void OnOperationKeyReused() = 0;
};

/// Services of the router that a coordinator uses.
struct operation_dependencies {
  common::clock& clock;
  common::timer_service& timers;
  attempt_table& attempts;
  operation_store& operations;
};

/// Coordinates the operation row of one request's non-idempotent stage, from
/// the first read to the final state. It decides whether the stage may be
/// dispatched and which execution status the caller gets. It outlives its
/// request, so that a reservation is released and a late result is recorded.
class operation_coordinator final
    : public std::enable_shared_from_this<operation_coordinator> {
 public:
  operation_coordinator(const operation_dependencies& dependencies,
                        std::string row_key, std::string digest,
                        std::weak_ptr<operation_observer> observer)
      : router_(dependencies),
        row_key_(std::move(row_key)),
        digest_(std::move(digest)),
        observer_(std::move(observer)) {}

  /// Reads the row, with back-off until the table answers.
  void LoadRow();
  /// Reserves the row for one dispatch. To be called after OnOperationFree.
  /// @param wanted request, target, incarnation, token window and router
  void Reserve(operation_record wanted);
  /// The reserved operation was sent to its agent.
  void OnDispatched() { phase_ = phase::kDispatched; }
  /// The token never ran and never will: releases the row.
  void OnNeverRuns();
  /// The operation ran: records its result, then reports it.
  void OnCompleted(const std::string& result);
  /// Whether the operation ran is unknown for now: polls the row.
  void OnAttemptLost();
  /// Asks the agent to revoke the dispatched token.
  /// @param handler called once with the token's status
  void RevokeToken(std::function<void(token_status)> handler);
  /// Reads the row once more, with a short timeout.
  /// @param handler called once with the status to report to the caller
  void ConfirmStatus(std::function<void(execution_status)> handler);
  /// The request has ended: reports nothing any more.
  void Detach();

  /// @return the execution status without reading the row again; a free row is
  ///         kUnknown, as another request may have run the operation since
  execution_status ExecutionStatus() const;
  bool free() const { return phase_ == phase::kFree; }
  bool dispatched() const { return phase_ == phase::kDispatched; }
  bool done() const { return phase_ == phase::kDone; }
  const std::string& result() const { return row_.result; }

 private:
  enum class phase {
    kUnread,
    kFree,        ///< as last read
    kPolling,     ///< reserved under a token that may run; the row is polled
    kReserving,   ///< our write is in flight
    kReserved,    ///< ours, and not dispatched
    kDispatched,  ///< ours, and it may run
    kReleased,    ///< ours, and its token never runs
    kDone,
    kRefused,  ///< the key was used with another body
  };

  bool Attached() const { return !observer_.expired(); }
  void Read();
  void ReadLater();
  void OnRow(const std::optional<operation_record>& row);
  void PollReserved(const operation_record& row);
  void RevokeHolder(const operation_record& row);
  void OnReserved(const reserve_result& answer);
  void OnReleased(const settle_result& answer);
  void Watch(const operation_record& held);
  void Report(void (operation_observer::*event)());
  void ReportReserved();
  void ReportRecorded(const std::string& result);

  operation_dependencies router_;
  std::string row_key_;
  std::string digest_;
  std::string request_id_;  ///< set once a reservation was tried
  std::weak_ptr<operation_observer> observer_;  ///< empty once detached
  phase phase_ = phase::kUnread;
  operation_record row_;            ///< as last known
  common::time_point next_revoke_;  ///< earliest time of the next revoke
  uint32_t read_retries_ = 0;
  common::timer_id read_timer_ = 0;
  common::timer_id record_timer_ = 0;
};

}  // namespace wisteriadale::core
