#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "common/clock.h"
#include "core/operations/operation_store.h"
#include "core/pipeline/attempt_table.h"

namespace wisteriadale::core {

/// What a caller can rely on when a request has ended.
enum class execution_status {
  kDone,     ///< the request's non-idempotent stage ran, or all of it did
  kNotRun,   ///< no non-idempotent stage ran or ever will for this request;
             ///< idempotent stages may have run, and sending again is safe
  kUnknown,  ///< it may have run, or may be running
};

/// Follows what becomes of an operation's row.
class operation_observer {
 public:
  virtual ~operation_observer() = default;
  /// The row holds no operation: the request may go on to reserve it.
  virtual void OnOperationFree() = 0;
  /// The row is reserved: the operation may be dispatched once.
  virtual void OnOperationReserved(const operation_record& reservation) = 0;
  /// The operation is done, and this is its recorded result.
  virtual void OnOperationRecorded(const std::string& result) = 0;
  /// The key belongs to another body.
  virtual void OnOperationKeyReused() = 0;
};

/// What operations need from their router.
struct operation_dependencies {
  common::clock& clock;
  common::timer_service& timers;
  attempt_table& attempts;
  operation_store& operations;
};

/// The row of one request's non-idempotent stage, from the first read to its
/// end. It decides whether the stage may be dispatched, and what the caller may
/// be told. It goes on after its request has ended, so that a reservation is
/// released and a late result is recorded.
class operation_coordinator final
    : public std::enable_shared_from_this<operation_coordinator> {
 public:
  operation_coordinator(const operation_dependencies& context,
                        std::string row_key, std::string digest,
                        std::weak_ptr<operation_observer> observer)
      : dependencies_(context),
        row_key_(std::move(row_key)),
        digest_(std::move(digest)),
        observer_(std::move(observer)) {}

  /// Reads the row, as often as it takes.
  void LoadRow();
  /// Reserves the row for one dispatch. Only after OnOperationFree.
  /// @param wanted request, target, incarnation, token window and router
  void Reserve(operation_record wanted);
  /// The reserved operation was sent to its agent.
  void OnDispatched() { phase_ = phase::kDispatched; }
  /// The agent says that the token never ran and never will. The row is freed.
  void OnNeverRuns();
  /// The operation ran; its result is recorded, then reported.
  void OnCompleted(const std::string& result);
  /// Nobody can tell at present whether it ran. The row is watched.
  void OnAttemptLost();
  /// Asks the agent that a dispatched token does not begin any more.
  /// @param handler called once with what is known then
  void RevokeToken(std::function<void(token_status)> handler);
  /// Reads the row once more, for a short while.
  /// @param handler takes what a caller may be told now
  void ConfirmStatus(std::function<void(execution_status)> handler);
  /// The request has ended: nothing is reported any more.
  void Detach();

  /// @return what a caller may be told without reading the row again; a free
  ///         row is kUnknown, as another request may have run since
  execution_status ExecutionStatus() const;
  bool free() const { return phase_ == phase::kFree; }
  bool dispatched() const { return phase_ == phase::kDispatched; }
  bool done() const { return phase_ == phase::kDone; }
  const std::string& result() const { return held_.result; }

 private:
  enum class phase {
    kUnread,
    kFree,        ///< as last read
    kHeld,        ///< reserved under a token that may run
    kReserving,   ///< our write is under way
    kReserved,    ///< ours, and not dispatched
    kDispatched,  ///< ours, and it may run
    kReleased,    ///< ours, and its token never runs
    kDone,
    kRefused,
  };

  bool Attached() const { return !observer_.expired(); }
  void Read();
  void ReadLater();
  void OnRow(const std::optional<operation_record>& row);
  void OnHeld(const operation_record& row);
  void AskToRevoke(const operation_record& row);
  void OnReserved(const reserve_result& answer);
  void OnReleased(const settle_result& answer);
  void Watch(const operation_record& held);
  void Report(void (operation_observer::*event)());
  void ReportReserved();
  void ReportRecorded(const std::string& result);

  operation_dependencies dependencies_;
  std::string row_key_;
  std::string digest_;
  std::string request_id_;  ///< set once a reservation was tried
  std::weak_ptr<operation_observer> observer_;  ///< empty once detached
  phase phase_ = phase::kUnread;
  operation_record held_;         ///< the row as last known
  common::time_point ask_after_;  ///< when the holder's agent is asked again
  uint32_t reads_ = 0;
  common::timer_id read_timer_ = 0;
  common::timer_id record_timer_ = 0;
};

}  // namespace wisteriadale::core
