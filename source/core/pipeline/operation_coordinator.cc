#include "core/pipeline/operation_coordinator.h"

#include <algorithm>

#include "common/invariant.h"
#include "common/metrics.h"

namespace wisteriadale::core {
namespace {

constexpr common::duration kInitialReadDelay = std::chrono::milliseconds(20);
constexpr common::duration kMaxReadDelay = std::chrono::milliseconds(400);
// A live holder normally settles its row sooner than this.
constexpr common::duration kHolderGracePeriod = std::chrono::milliseconds(1500);
constexpr common::duration kRevokeInterval = std::chrono::milliseconds(1000);
// How long an answer waits for its result to be recorded.
constexpr common::duration kRecordTimeout = std::chrono::milliseconds(500);
constexpr common::duration kConfirmTimeout = std::chrono::milliseconds(250);
// How long reservations and settlements are retried.
constexpr common::duration kSettleTimeout = std::chrono::seconds(30);

}  // namespace

void operation_coordinator::LoadRow() { Read(); }

void operation_coordinator::Read() {
  router_.operations.ReadRow(
      row_key_,
      [self = shared_from_this()](const std::optional<operation_record>& row) {
        if (self->Attached()) self->OnRow(row);
      });
}

void operation_coordinator::ReadLater() {
  if (!Attached()) return;
  constexpr uint32_t kMaxDoublings = 5;
  const common::duration delay = std::min(
      kInitialReadDelay * (1 << std::min(read_retries_++, kMaxDoublings)),
      kMaxReadDelay);
  router_.timers.Cancel(read_timer_);
  read_timer_ = router_.timers.Schedule(delay, [self = shared_from_this()] {
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
      row_ = *row;
      phase_ = phase::kFree;
      Report(&operation_observer::OnOperationFree);
      return;
    case operation_state::kDone:
      row_ = *row;
      phase_ = phase::kDone;
      ReportRecorded(row->result);
      return;
    case operation_state::kReserved:
      PollReserved(*row);
      return;
  }
}

void operation_coordinator::PollReserved(const operation_record& row) {
  const common::time_point now = router_.clock.Now();
  if (phase_ != phase::kPolling || row.token != row_.token) {
    phase_ = phase::kPolling;
    next_revoke_ = now + kHolderGracePeriod;
  }
  row_ = row;
  if (now >= next_revoke_) {
    next_revoke_ = now + kRevokeInterval;
    RevokeHolder(row);
  }
  ReadLater();
}

void operation_coordinator::RevokeHolder(const operation_record& row) {
  common::Metrics().Count("wisteria_operations_revoke_asked_total");
  router_.attempts.Revoke(
      row.target, row.token, row.token_window,
      [self = shared_from_this(), row](token_status reported) {
        if (reported != token_status::kNeverRuns) return;
        operation_record freed = row;
        freed.state = operation_state::kNotRun;
        self->router_.operations.Settle(
            self->row_key_, freed, self->router_.clock.Now() + kSettleTimeout,
            [](const settle_result&) {});
      });
}

void operation_coordinator::Reserve(operation_record wanted) {
  common::CheckInvariant(phase_ == phase::kFree, "reserve_of_free_row",
                         row_key_);
  phase_ = phase::kReserving;
  wanted.digest = digest_;
  wanted.version = row_.version;
  request_id_ = wanted.request_id;
  // Retried for longer than the request may last: a reservation that succeeds
  // after the request has ended is released again.
  router_.operations.Reserve(
      row_key_, std::move(wanted), router_.clock.Now() + kSettleTimeout,
      [self = shared_from_this()](const reserve_result& answer) {
        self->OnReserved(answer);
      });
}

void operation_coordinator::OnReserved(const reserve_result& answer) {
  switch (answer.status) {
    case reserve_status::kReserved:
      row_ = answer.record;
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
    observer->OnOperationReserved(row_);
  } else {
    // The request has ended meanwhile, so nothing is dispatched.
    OnNeverRuns();
  }
}

void operation_coordinator::OnNeverRuns() {
  phase_ = phase::kReleased;
  operation_record freed = row_;
  freed.state = operation_state::kNotRun;
  router_.operations.Settle(
      row_key_, freed, router_.clock.Now() + kSettleTimeout,
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
  row_.result = result;
  phase_ = phase::kDone;
  operation_record done = row_;
  done.state = operation_state::kDone;
  // The caller does not wait while the table is down; the agent keeps trying to
  // record the result as well.
  record_timer_ = router_.timers.Schedule(kRecordTimeout,
                                          [self = shared_from_this(), result] {
                                            self->record_timer_ = 0;
                                            self->ReportRecorded(result);
                                          });
  router_.operations.Settle(
      row_key_, done, router_.clock.Now() + kSettleTimeout,
      [self = shared_from_this(), result](const settle_result& answer) {
        common::CheckInvariant(
            answer.status != settle_status::kVersionMismatch ||
                answer.record.state == operation_state::kDone,
            "done_row_is_not_lost", self->row_key_);
        if (self->record_timer_ == 0) return;
        self->router_.timers.Cancel(self->record_timer_);
        self->record_timer_ = 0;
        self->ReportRecorded(result);
      });
}

void operation_coordinator::OnAttemptLost() {
  phase_ = phase::kPolling;
  // Revoke as soon as the agent can be reached again.
  next_revoke_ = router_.clock.Now();
  read_retries_ = 0;
  ReadLater();
}

void operation_coordinator::RevokeToken(
    std::function<void(token_status)> handler) {
  router_.attempts.Revoke(row_.target, row_.token, row_.token_window,
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
      router_.timers.Schedule(kConfirmTimeout, [pending] {
        if (pending->ended) return;
        pending->ended = true;
        pending->handler(execution_status::kUnknown);
      });
  router_.operations.ReadRow(
      row_key_, [self = shared_from_this(), pending,
                 timer](const std::optional<operation_record>& row) {
        if (pending->ended || !row) return;
        pending->ended = true;
        self->router_.timers.Cancel(timer);
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
  router_.timers.Cancel(read_timer_);
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
