#include <algorithm>
#include <span>

#include "common/digest.h"
#include "common/event_log.h"
#include "gateway/forward_request.h"

// Requests, and parts of their prompts, that crash targets.

namespace wisteriadale::gateway {
namespace {

using common::log_event;

// Weight of a loss for the parts of a prompt. A target that had sent the head
// of the response was about to write its body; before that, it may have crashed
// by another request that it ran.
constexpr uint32_t kHeadReceivedWeight = 2;
constexpr uint32_t kNothingReceivedWeight = 1;

}  // namespace

std::string forward_request::Digest() const {
  // The request id is left out: callers assign a new one when they retry.
  const net::message_head& head = exchange_->head();
  std::string content =
      head.method + ' ' + head.target + '\n' + organisation_name() + '\n';
  content.append(exchange_->body());
  return common::Sha256Hex(content);
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

void forward_request::RecordSuspectedCrash(net::call_failure failure) {
  if (failure != net::call_failure::kLost &&
      failure != net::call_failure::kTruncated &&
      failure != net::call_failure::kReset) {
    return;
  }
  deps_.suspects.OnLost(Digest(), 1,
                        deps_.targets.MostEjected(service_, deps_.clock.Now()));
  // The target had begun to write, and crashed by something else.
  if (filter_.last_id() || !response_body_.empty()) return;
  const uint32_t weight =
      Succeeded() ? kHeadReceivedWeight : kNothingReceivedWeight;
  for (const core::prompt_part& part : SharedParts()) {
    deps_.part_suspects.OnLost(core::PartDigest(part.id), weight, false);
  }
}

void forward_request::ClearSuspects() {
  if (!deps_.suspects.empty()) deps_.suspects.OnAnswered(Digest());
  if (!Succeeded() || prompt_parts_.empty()) return;
  deps_.part_suspects.NoteAnswer();
  if (deps_.part_suspects.empty()) return;
  for (const core::prompt_part& part : SharedParts()) {
    deps_.part_suspects.OnAnswered(core::PartDigest(part.id));
  }
}

}  // namespace wisteriadale::gateway
