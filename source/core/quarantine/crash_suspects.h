#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"

namespace wisteriadale::core {

/// A request's crash count, as gateways exchange it.
struct crash_report {
  std::string digest;
  uint32_t crashes = 0;  ///< consecutive targets lost; 0: it was answered
  bool operator==(const crash_report&) const = default;
};

/// Thresholds and durations of refusals.
struct crash_suspects_options {
  /// Consecutive targets lost before a request is refused: a single target can
  /// be lost for unrelated reasons, three in a row hardly.
  uint32_t crashes_to_refuse = 3;
  /// How long a suspect is tracked. A retry comes within its caller's deadline,
  /// at most some ten seconds; callers that start over need longer.
  common::duration suspect_duration = std::chrono::minutes(2);
  /// Duration of the first refusal: a few restarts of a target.
  common::duration initial_refusal = std::chrono::minutes(5);
  /// Factor by which each further crash prolongs the refusal, ...
  int64_t refusal_growth = 4;
  /// ... up to this, the duration of a quarantine.
  common::duration max_refusal = std::chrono::hours(1);
  /// Bounds the memory used: some 150 bytes each.
  size_t max_suspects = 2000;
};

/// Counts the consecutive targets lost while they ran a request, and refuses a
/// request that crashes every target. Gateways exchange their counts, as a
/// caller may retry at any of them. It guards against a single request that
/// crashes each target and that its caller sends again.
class crash_suspects {
 public:
  crash_suspects(const crash_suspects_options& options, common::clock& clock)
      : options_(options), clock_(clock) {}

  /// @param handler receives each change to send to the other gateways
  void SetReportHandler(std::function<void(const crash_report&)> handler) {
    on_report_ = std::move(handler);
  }

  /// @return whether no request is tracked
  bool empty() const { return entries_.empty(); }
  /// @return how long a request is still refused; 0: it is not
  common::duration RemainingRefusal(std::string_view digest) const;
  /// A target was lost while it ran a request.
  /// @param widespread most targets of the service are failing, so that the
  ///                   request is not to blame
  void OnLost(const std::string& digest, bool widespread);
  /// A target answered a request.
  void OnAnswered(std::string_view digest);
  /// Merges another gateway's report.
  void Merge(const crash_report& report);
  /// @return all counts, for a gateway that joins
  std::vector<crash_report> Reports() const;

 private:
  struct entry {
    uint32_t crashes = 0;
    common::time_point until{};  ///< end of the suspicion, or of the refusal
  };

  void Record(const std::string& digest, uint32_t crashes);
  void EvictExpired();
  common::duration DurationFor(uint32_t crashes) const;

  crash_suspects_options options_;
  common::clock& clock_;
  std::function<void(const crash_report&)> on_report_;
  std::map<std::string, entry, std::less<>> entries_;
};

}  // namespace wisteriadale::core
