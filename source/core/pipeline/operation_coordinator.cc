#include "core/pipeline/operation_coordinator.h"

#include <algorithm>

#include "common/invariant.h"
#include "common/metrics.h"

namespace wisteriadale::core {
namespace {

constexpr common::duration kFirstReadDelay = std::chrono::milliseconds(20);
constexpr common::duration kLongestReadDelay = std::chrono::milliseconds(400);
// A holder that lives moves its row sooner than this, as a rule.
constexpr common::duration kHolderPatience = std::chrono::milliseconds(1500);
constexpr common::duration kAskAgain = std::chrono::milliseconds(1000);
constexpr common::duration kRecordWait = std::chrono::milliseconds(500);
constexpr common::duration kConfirmWait = std::chrono::milliseconds(250);
constexpr common::duration kSettleLimit = std::chrono::seconds(30);

}  // namespace

void operation_coordinator::LoadRow() { Read(); }

void operation_coordinator::Read() {
  dependencies_.operations.ReadRow(
      row_key_,
      [self = shared_from_this()](const std::optional<operation_record>& row) {
        if (self->Attached()) self->OnRow(row);
      });
}

void operation_coordinator::ReadLater() {
  if (!Attached()) return;
  constexpr uint32_t kMaxDoublings = 5;
  const common::duration delay =
      std::min(kFirstReadDelay * (1 << std::min(reads_++, kMaxDoublings)),
               kLongestReadDelay);
  dependencies_.timers.Cancel(read_timer_);
  read_timer_ =
      dependencies_.timers.Schedule(delay, [self = shared_from_this()] {
        self->read_timer_ = 0;
        if (self->Attached()) self->Read();
      });
}

void operation_coordinator::OnRow(const std::optional<operation_record>& row) {
  if (!row) {
    ReadLater();
    return;
  }
  if (!row->digest.empty() && row->digest != digest_) {
    phase_ = phase::kRefused;
    Report(&operation_observer::OnOperationKeyReused);
    return;
  }
  switch (row->state) {
    case operation_state::kNone:
    case operation_state::kNotRun:
      held_ = *row;
      phase_ = phase::kFree;
      Report(&operation_observer::OnOperationFree);
      return;
    case operation_state::kDone:
      held_ = *row;
      phase_ = phase::kDone;
      ReportRecorded(row->result);
      return;
    case operation_state::kReserved:
      OnHeld(*row);
      return;
  }
}

void operation_coordinator::OnHeld(const operation_record& row) {
  const common::time_point now = dependencies_.clock.Now();
  if (phase_ != phase::kHeld || row.token != held_.token) {
    phase_ = phase::kHeld;
    ask_after_ = now + kHolderPatience;
  }
  held_ = row;
  if (now >= ask_after_) {
    ask_after_ = now + kAskAgain;
    AskToRevoke(row);
  }
  ReadLater();
}

void operation_coordinator::AskToRevoke(const operation_record& row) {
  common::Metrics().Count("wisteria_operations_revoke_asked_total");
  dependencies_.attempts.Revoke(
      row.target, row.token, row.token_window,
      [self = shared_from_this(), row](token_status fate) {
        if (fate != token_status::kNeverRuns) return;
        operation_record freed = row;
        freed.state = operation_state::kNotRun;
        self->dependencies_.operations.Settle(
            self->row_key_, freed,
            self->dependencies_.clock.Now() + kSettleLimit,
            [](const settle_result&) {});
      });
}

void operation_coordinator::Reserve(operation_record wanted) {
  common::CheckInvariant(phase_ == phase::kFree, "reserve_of_free_row",
                         row_key_);
  phase_ = phase::kReserving;
  wanted.digest = digest_;
  wanted.version = held_.version;
  request_id_ = wanted.request_id;
  // It tries for longer than the request may last: a write that comes in after
  // the request has ended is released again.
  dependencies_.operations.Reserve(
      row_key_, std::move(wanted), dependencies_.clock.Now() + kSettleLimit,
      [self = shared_from_this()](const reserve_result& answer) {
        self->OnReserved(answer);
      });
}

void operation_coordinator::OnReserved(const reserve_result& answer) {
  switch (answer.status) {
    case reserve_status::kReserved:
      held_ = answer.record;
      phase_ = phase::kReserved;
      ReportReserved();
      return;
    case reserve_status::kRecorded:
    case reserve_status::kKeyReused:
    case reserve_status::kReservedByOther:
      if (Attached()) OnRow(answer.record);
      return;
    case reserve_status::kTimedOut:
      phase_ = phase::kUnread;
      ReadLater();
      return;
  }
}

void operation_coordinator::ReportReserved() {
  const std::shared_ptr<operation_observer> observer = observer_.lock();
  if (observer) {
    observer->OnOperationReserved(held_);
  } else {
    // The request ended meanwhile; nothing is dispatched.
    OnNeverRuns();
  }
}

void operation_coordinator::OnNeverRuns() {
  phase_ = phase::kReleased;
  operation_record freed = held_;
  freed.state = operation_state::kNotRun;
  dependencies_.operations.Settle(
      row_key_, freed, dependencies_.clock.Now() + kSettleLimit,
      [self = shared_from_this()](const settle_result& answer) {
        self->OnReleased(answer);
      });
}

void operation_coordinator::OnReleased(const settle_result& answer) {
  if (!Attached()) return;
  if (answer.status == settle_status::kTimedOut) {
    ReadLater();
    return;
  }
  OnRow(answer.record);
}

void operation_coordinator::OnCompleted(const std::string& result) {
  held_.result = result;
  phase_ = phase::kDone;
  operation_record done = held_;
  done.state = operation_state::kDone;
  // The caller does not wait for a table that is down; the agent keeps trying
  // to record the result as well.
  record_timer_ = dependencies_.timers.Schedule(
      kRecordWait, [self = shared_from_this(), result] {
        self->record_timer_ = 0;
        self->ReportRecorded(result);
      });
  dependencies_.operations.Settle(
      row_key_, done, dependencies_.clock.Now() + kSettleLimit,
      [self = shared_from_this(), result](const settle_result& answer) {
        common::CheckInvariant(
            answer.status != settle_status::kVersionMismatch ||
                answer.record.state == operation_state::kDone,
            "done_row_is_not_lost", self->row_key_);
        if (self->record_timer_ == 0) return;
        self->dependencies_.timers.Cancel(self->record_timer_);
        self->record_timer_ = 0;
        self->ReportRecorded(result);
      });
}

void operation_coordinator::OnAttemptLost() {
  phase_ = phase::kHeld;
  // The agent is asked as soon as it can be reached again.
  ask_after_ = dependencies_.clock.Now();
  reads_ = 0;
  ReadLater();
}

void operation_coordinator::RevokeToken(
    std::function<void(token_status)> handler) {
  dependencies_.attempts.Revoke(held_.target, held_.token, held_.token_window,
                                std::move(handler));
}

void operation_coordinator::ConfirmStatus(
    std::function<void(execution_status)> handler) {
  const execution_status known = ExecutionStatus();
  const bool readable = phase_ == phase::kFree || phase_ == phase::kReserving;
  if (!readable) {
    handler(known);
    return;
  }
  struct confirmation {
    std::function<void(execution_status)> handler;
    bool ended = false;
  };
  const std::shared_ptr<confirmation> pending =
      std::make_shared<confirmation>();
  pending->handler = std::move(handler);
  const common::timer_id timer =
      dependencies_.timers.Schedule(kConfirmWait, [pending] {
        if (pending->ended) return;
        pending->ended = true;
        pending->handler(execution_status::kUnknown);
      });
  dependencies_.operations.ReadRow(
      row_key_, [self = shared_from_this(), pending,
                 timer](const std::optional<operation_record>& row) {
        if (pending->ended || !row) return;
        pending->ended = true;
        self->dependencies_.timers.Cancel(timer);
        const bool other = !row->digest.empty() && row->digest != self->digest_;
        const bool empty = row->state == operation_state::kNone ||
                           row->state == operation_state::kNotRun;
        // Our own reservation is not dispatched once the request has ended.
        const bool own = row->state == operation_state::kReserved &&
                         row->request_id == self->request_id_;
        if (other || empty || own) {
          pending->handler(execution_status::kNotRun);
        } else if (row->state == operation_state::kDone) {
          pending->handler(execution_status::kDone);
        } else {
          pending->handler(execution_status::kUnknown);
        }
      });
}

void operation_coordinator::Detach() {
  observer_.reset();
  dependencies_.timers.Cancel(read_timer_);
  read_timer_ = 0;
}

execution_status operation_coordinator::ExecutionStatus() const {
  switch (phase_) {
    case phase::kReserved:
    case phase::kReleased:
    case phase::kRefused:
      return execution_status::kNotRun;
    case phase::kDone:
      return execution_status::kDone;
    default:
      return execution_status::kUnknown;
  }
}

void operation_coordinator::Report(void (operation_observer::*event)()) {
  const std::shared_ptr<operation_observer> observer = observer_.lock();
  if (observer) (observer.get()->*event)();
}

void operation_coordinator::ReportRecorded(const std::string& result) {
  const std::shared_ptr<operation_observer> observer = observer_.lock();
  if (observer) observer->OnOperationRecorded(result);
}

}  // namespace wisteriadale::core
