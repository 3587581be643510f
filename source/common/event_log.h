#pragma once

#include <array>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "common/clock.h"

namespace wisteriadale::common {

/// Kinds of lines that tell of a decision. Each has a rate of its own.
enum class log_event {
  kStarted,
  kStopping,
  kStopped,
  kSettingsRead,
  kDependencyLost,
  kDependencyRegained,
  kRoutesApplied,
  kRoutesRefused,
  kKeyDropped,
  kTargetLeaving,
  kTargetRests,
  kEntryRefused,
  kGatewayLinked,
  kGatewayLost,
  kOwnerChanged,
  kSpeedChanged,  ///< this process gets too little processor, or not any more
  kRouted,        ///< a request was admitted, and to which service
  kRefused,       ///< ... or not
  kAdmittedLate,  ///< ... behind those that can meet their objective
  kSent,          ///< to a target
  kAttemptEnded,  ///< without an answer to pass on
  kResumed,       ///< a stream goes on at another target
  kStageEnded,
  kCallEnded,  ///< of the owner of a queue, to a target
  kAnswered,
  kCancelled,
  kQuarantined,  ///< a request is refused, as it crashes targets
  kCount
};

/// A field of a line.
struct log_field {
  std::string_view name;
  std::variant<std::string_view, int64_t, double, bool> value;
};

/// Writes one line, unless the lines of its kind come too often. What was left
/// out is told by the next line of that kind.
/// @param request_id empty for lines that belong to no request
void LogEvent(log_event event, std::string_view request_id,
              std::initializer_list<log_field> fields);

/// @return the name of the event in the lines
std::string_view ToString(log_event event);

/// Admits a number of lines a second, and counts the others.
class line_rate {
 public:
  /// @param per_second lines a second; as many again may come at once
  explicit line_rate(double per_second)
      : per_second_(per_second), left_(per_second) {}

  /// @return whether a line may be written now
  bool Admit(time_point now);
  /// @return lines that were not admitted since the last call
  uint64_t TakeLeftOut();

 private:
  double per_second_;
  double left_;
  time_point filled_{};
  uint64_t left_out_ = 0;
};

}  // namespace wisteriadale::common
