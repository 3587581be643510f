#include <algorithm>
#include <span>

#include "common/digest.h"
#include "common/event_log.h"
#include "common/metrics.h"
#include "gateway/forward_request.h"

// How attempts end, and requests and parts of their prompts that crash targets.

namespace wisteriadale::gateway {
namespace {

using common::log_event;
using core::attempt_outcome;

// Weight of a loss for the parts of a prompt. A target that had sent the head
// of the response was about to write its body; before that, it may have crashed
// by another request that it ran.
constexpr uint32_t kHeadReceivedWeight = 2;
constexpr uint32_t kNothingReceivedWeight = 1;

}  // namespace

const std::string& forward_request::Digest() const {
  if (!digest_.empty()) return digest_;
  // The request id is left out: callers assign a new one when they retry.
  const net::message_head& head = exchange_->head();
  std::string content =
      head.method + ' ' + head.target + '\n' + organisation_name() + '\n';
  content.append(exchange_->body());
  digest_ = common::Sha256Hex(content);
  return digest_;
}

std::span<const core::prompt_part> forward_request::SharedParts() const {
  const std::span<const core::prompt_part> parts(prompt_parts_);
  return parts.empty() ? parts : parts.first(parts.size() - 1);
}

common::duration forward_request::RemainingQuarantine() const {
  common::duration remaining(0);
  // Skips the digests while there are no suspects, which is the usual case.
  if (!deps_.suspects.empty()) {
    remaining = deps_.suspects.RemainingRefusal(Digest());
  }
  if (deps_.part_suspects.empty()) return remaining;
  for (const core::prompt_part& part : SharedParts()) {
    remaining = std::max(remaining, deps_.part_suspects.RemainingRefusal(
                                        core::PartDigest(part.id)));
  }
  return remaining;
}

bool forward_request::RejectQuarantined() {
  const common::duration quarantine_time = RemainingQuarantine();
  if (quarantine_time.count() == 0) return false;
  common::LogEvent(log_event::kRefused, request_id_,
                   {{"route", route_->name},
                    {"why", "it crashes targets"},
                    {"return_after_ms", common::ToMillis(quarantine_time)}});
  Respond({503, "Service Unavailable",
           "earlier runs of this request, or of a part of its prompt, crashed "
           "targets"},
          quarantine_time);
  return true;
}

bool forward_request::TargetBeganToWrite() const {
  return filter_.last_id() || !response_body_.empty();
}

core::crash_suspicion forward_request::CrashSuspicion() const {
  core::crash_suspicion suspicion;
  suspicion.request_id = request_id_;
  suspicion.digest = Digest();
  // A target that had begun to write crashed by something else.
  if (TargetBeganToWrite()) return suspicion;
  suspicion.part_weight =
      Succeeded() ? kHeadReceivedWeight : kNothingReceivedWeight;
  for (const core::prompt_part& part : SharedParts()) {
    suspicion.parts.push_back(core::PartDigest(part.id));
  }
  return suspicion;
}

void forward_request::RecordSuspectedCrash(attempt_outcome outcome) {
  switch (outcome) {
    case attempt_outcome::kAnswered:
    case attempt_outcome::kFailed:
      ClearSuspects();
      break;
    case attempt_outcome::kLost:
      if (failure_ && net::IndicatesLostServer(*failure_)) {
        deps_.crash_watch.OnLost(target_->entry, CrashSuspicion());
      }
      break;
    case attempt_outcome::kTimedOut:
    case attempt_outcome::kCancelled:
      if (call_ && call_->sent() && !TargetBeganToWrite()) {
        deps_.crash_watch.OnDropped(*target_, CrashSuspicion());
      }
      break;
    default:
      break;
  }
}

void forward_request::EndAttempt(attempt_outcome outcome) {
  if (!target_) return;
  // Before this loss counts among those of the service's targets.
  RecordSuspectedCrash(outcome);
  UpdateTargetHealth(outcome);
  if (outcome != attempt_outcome::kAnswered) {
    common::Metrics().Count(
        "wisteria_attempts_failed_total",
        {{"service", service_}, {"end", core::ToString(outcome)}});
  }
  if (outcome == attempt_outcome::kTimedOut ||
      outcome == attempt_outcome::kCancelled) {
    common::LogEvent(log_event::kAttemptEnded, request_id_,
                     {{"target", target_->entry.id},
                      {"end", core::ToString(outcome)},
                      {"sent", call_ && call_->sent()},
                      {"status", int64_t{response_head_.status}},
                      {"attempts", int64_t{attempts_}}});
  }
  ReleaseTarget();
}

void forward_request::ClearSuspects() {
  if (!deps_.suspects.empty() || deps_.crash_watch.has_attempts()) {
    const std::string& digest = Digest();
    deps_.suspects.OnAnswered(digest);
    deps_.crash_watch.OnAnswered(digest);
  }
  if (!Succeeded() || prompt_parts_.empty()) return;
  deps_.part_suspects.NoteAnswer();
  if (deps_.part_suspects.empty()) return;
  for (const core::prompt_part& part : SharedParts()) {
    deps_.part_suspects.OnAnswered(core::PartDigest(part.id));
  }
}

}  // namespace wisteriadale::gateway
