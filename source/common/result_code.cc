#include "common/result_code.h"

#include <array>

namespace wisteriadale::common {
namespace {

using enum result_code;

constexpr std::array kTable = {
    result_code_info{kOk, "ok", 200, false, "The answer is complete."},
    result_code_info{kMalformedJson, "malformed_json", 400, false,
                     "The body is not valid JSON."},
    result_code_info{kBodyTooLarge, "body_too_large", 413, false,
                     "The body exceeds http.max_body_bytes."},
    result_code_info{kUnknownPipeline, "unknown_pipeline", 404, false,
                     "The configuration has no such pipeline."},
    result_code_info{kUnauthorised, "unauthorised", 401, false,
                     "The API key is missing or names no organisation."},
    result_code_info{kMissingIdempotencyKey, "missing_idempotency_key", 400,
                     false,
                     "A pipeline with a non-idempotent stage needs an "
                     "Idempotency-Key of at most 256 printable ASCII "
                     "characters."},
    result_code_info{kBadDeadline, "bad_deadline", 400, false,
                     "Request-Timeout-Ms is not a number in the allowed "
                     "range."},
    result_code_info{kKeyReused, "key_reused", 422, false,
                     "The idempotency key was used with another body."},
    result_code_info{kNotFound, "not_found", 404, false,
                     "No such path, request or operation."},
    result_code_info{kMethodNotAllowed, "method_not_allowed", 405, false,
                     "The path does not support this method."},
    result_code_info{kBadRequest, "bad_request", 400, false,
                     "A header or field has a value that is not allowed."},
    result_code_info{kForbidden, "forbidden", 403, false,
                     "The key may not use this path."},
    result_code_info{kSlowCaller, "slow_caller", 408, true,
                     "The body did not arrive within "
                     "http.receive_timeout_ms."},
    result_code_info{kLengthRequired, "length_required", 411, false,
                     "A body needs a valid Content-Length."},
    result_code_info{kDeadlineExceeded, "deadline_exceeded", 504, true,
                     "The deadline passed, or cannot be met any more."},
    result_code_info{kOverloaded, "overloaded", 503, true,
                     "Rejected early because of load."},
    result_code_info{kNoTarget, "no_target", 503, true,
                     "No target of the pool can take work."},
    result_code_info{kDraining, "draining", 503, true,
                     "The process or target is draining and takes no new "
                     "work."},
    result_code_info{kQuotaExceeded, "quota_exceeded", 429, true,
                     "The organisation is over its quota."},
    result_code_info{kCancelled, "cancelled", 499, false,
                     "The caller or the router cancelled the attempt."},
    result_code_info{kOperationInProgress, "operation_in_progress", 409, true,
                     "The operation under this key is still running."},
    result_code_info{kOperationUnknown, "operation_unknown", 504, false,
                     "It is not known whether the operation ran."},
    result_code_info{kOperationNotRun, "operation_not_run", 503, true,
                     "The operation did not run and never will under this "
                     "token."},
    result_code_info{kTargetFailed, "target_failed", 502, true,
                     "The target answered with an error."},
    result_code_info{kTargetLost, "target_lost", 502, true,
                     "The target or its agent was lost."},
    result_code_info{kDigestQuarantined, "digest_quarantined", 422, false,
                     "This request crashed several targets and is refused."},
    result_code_info{kIncarnationMismatch, "incarnation_mismatch", 503, true,
                     "The agent restarted since the operation was reserved."},
    result_code_info{kAnswerCut, "answer_cut", 502, true,
                     "The target's answer ended before it was complete."},
    result_code_info{kStaleOrder, "stale_order", 409, false,
                     "The order carries an outdated fencing number."},
    result_code_info{kPlatformUnavailable, "platform_unavailable", 503, true,
                     "The table or object store does not answer."},
    result_code_info{kConflict, "conflict", 409, false,
                     "The row changed since it was read."},
    result_code_info{kPlatformBudget, "platform_budget", 503, true,
                     "The client-side budget of platform calls is exhausted."},
    result_code_info{kBadFrame, "bad_frame", 400, false,
                     "A frame between processes could not be decoded."},
    result_code_info{kPeerLost, "peer_lost", 502, true,
                     "The connection to a peer was lost."},
    result_code_info{kForeignResult, "foreign_result", 500, false,
                     "A result belonged to another attempt or organisation "
                     "and was dropped."},
    result_code_info{kBadSettings, "bad_settings", 500, false,
                     "The settings file has errors."},
    result_code_info{kBadConfiguration, "bad_configuration", 422, false,
                     "The configuration document has errors and was rejected "
                     "as a whole."},
    result_code_info{kNotReady, "not_ready", 503, true,
                     "The process has no configuration yet."},
    result_code_info{
        kCannotListen, "cannot_listen", 500, false,
        "The address to listen on is in use or not one of this VM."},
    result_code_info{kInternal, "internal", 500, false,
                     "An invariant did not hold."},
};

}  // namespace

std::span<const result_code_info> ResultCodes() { return kTable; }

const result_code_info& Describe(result_code code) {
  for (const result_code_info& info : kTable) {
    if (info.code == code) return info;
  }
  return kTable.back();
}

std::optional<result_code> ResultCodeFromNumber(int number) {
  for (const result_code_info& info : kTable) {
    if (static_cast<int>(info.code) == number) return info.code;
  }
  return std::nullopt;
}

}  // namespace wisteriadale::common
