#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "core/messages.h"

namespace wisteriadale::core {

/// How a run on the target ended.
struct target_result {
  common::result_code code = common::result_code::kOk;
  std::string reason;
  std::string result;    ///< JSON text
  bool crashed = false;  ///< the target itself crashed
};

/// Receives the events of a run on the target.
class target_observer {
 public:
  virtual ~target_observer() = default;
  /// The next bytes of the run's stream.
  virtual void OnTargetChunk(std::string_view attempt_id,
                             std::string_view data) = 0;
  /// Called exactly once for each run that was not cancelled.
  virtual void OnTargetResult(std::string_view attempt_id,
                              const target_result& result) = 0;
};

/// Runs work on the target beside an agent.
class target_client {
 public:
  virtual ~target_client() = default;
  /// Starts a run; the observer receives its events.
  virtual void Run(const execute_message& execute,
                   target_observer* observer) = 0;
  /// Cancels a run; nothing is reported for it any more.
  virtual void Cancel(std::string_view attempt_id) = 0;
  /// Calls the action once the target answers again after a crash.
  virtual void CallWhenAvailable(const std::function<void()>& action) {
    action();
  }
};

}  // namespace wisteriadale::core
