#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace wisteriadale::common {

/// Numbered results. A test keeps docs/RESULT_CODES.md equal to the table.
enum class result_code : uint16_t {
  kOk = 0,
  kMalformedJson = 1001,
  kBodyTooLarge = 1002,
  kUnknownPipeline = 1003,
  kUnauthorised = 1004,
  kMissingIdempotencyKey = 1005,
  kBadDeadline = 1006,
  kKeyReused = 1007,
  kNotFound = 1008,
  kMethodNotAllowed = 1009,
  kBadRequest = 1010,
  kForbidden = 1011,
  kSlowCaller = 1012,
  kLengthRequired = 1013,
  kDeadlineExceeded = 2001,
  kOverloaded = 2002,
  kNoTarget = 2003,
  kDraining = 2004,
  kQuotaExceeded = 2005,
  kCancelled = 2006,
  kOperationInProgress = 3001,
  kOperationUnknown = 3002,
  kOperationNotRun = 3003,
  kTargetFailed = 4001,
  kTargetLost = 4002,
  kDigestQuarantined = 4003,
  kIncarnationMismatch = 4004,
  kAnswerCut = 4005,
  kStaleOrder = 4006,
  kPlatformUnavailable = 5001,
  kConflict = 5002,
  kPlatformBudget = 5003,
  kBadFrame = 6001,
  kPeerLost = 6002,
  kForeignResult = 6003,
  kBadSettings = 7001,
  kBadConfiguration = 7002,
  kNotReady = 7003,
  kCannotListen = 7004,
  kInternal = 9001,
};

/// One row of the table of result codes.
struct result_code_info {
  result_code code;
  std::string_view name;
  int http_status;
  bool retryable;
  std::string_view meaning;
};

/// @return every result code, in ascending order
std::span<const result_code_info> ResultCodes();

/// @return the row of a code; the row of kInternal for an unknown code
const result_code_info& Describe(result_code code);

/// @return the code with that number, or nothing when there is none
std::optional<result_code> ResultCodeFromNumber(int number);

}  // namespace wisteriadale::common
