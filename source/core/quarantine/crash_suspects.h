#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"

namespace wisteriadale::core {

/// What a gateway knows of a request that may crash targets.
struct crash_report {
  std::string digest;
  uint32_t crashes = 0;  ///< targets lost in a row; 0: it was answered
  bool operator==(const crash_report&) const = default;
};

struct crash_suspects_options {
  /// Targets that a request may crash before it is refused: a target can be
  /// lost for reasons of its own, three in a row hardly.
  uint32_t crashes_to_refuse = 3;
  /// A request that is sent again comes within its caller's deadline, at most
  /// some ten seconds; callers that start anew need longer.
  common::duration suspect_duration = std::chrono::minutes(2);
  /// How long a request is refused first, a few restarts of a target.
  common::duration initial_refusal = std::chrono::minutes(5);
  /// Each further crash makes the refusal this many times as long, ...
  int64_t refusal_growth = 4;
  /// ... up to the term of a conviction elsewhere in the product.
  common::duration max_refusal = std::chrono::hours(1);
  /// Bound of the memory: some 150 bytes each.
  size_t max_suspects = 2000;
};

/// Counts the targets that a request was lost at without an answer between, and
/// refuses one that crashes whatever runs it. Gateways pass their counts to
/// each other, as such a request comes again at any of them. Load it answers: a
/// single request that crashes each target, and that its caller sends again.
class crash_suspects {
 public:
  crash_suspects(const crash_suspects_options& options, common::clock& clock)
      : options_(options), clock_(clock) {}

  /// @param handler takes what the other gateways should know
  void SetReportHandler(std::function<void(const crash_report&)> handler) {
    on_report_ = std::move(handler);
  }

  /// @return whether there is nothing to compare requests with
  bool empty() const { return entries_.empty(); }
  /// @return how long a request is still refused; 0: it is not
  common::duration RemainingRefusal(std::string_view digest) const;
  /// A target was lost while it ran a request.
  /// @param widespread most targets of the service fail: that is not the
  /// request's doing
  void OnLost(const std::string& digest, bool widespread);
  /// A target answered a request.
  void OnAnswered(std::string_view digest);
  /// Another gateway reports.
  void Merge(const crash_report& report);
  /// @return all that is known, for a gateway that joins
  std::vector<crash_report> Reports() const;

 private:
  struct entry {
    uint32_t crashes = 0;
    common::time_point until{};  ///< of the suspicion, or the refusal
  };

  void Note(const std::string& digest, uint32_t crashes);
  void Expire();
  common::duration TermOf(uint32_t crashes) const;

  crash_suspects_options options_;
  common::clock& clock_;
  std::function<void(const crash_report&)> on_report_;
  std::map<std::string, entry, std::less<>> entries_;
};

}  // namespace wisteriadale::core
