#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "core/fleet/target_directory.h"
#include "core/limits/limit_messages.h"
#include "core/limits/request_limit.h"

namespace wisteriadale::core {

/// A higher limit does not bind: no target serves as much.
constexpr double kMaxLimitPerSecond = 10000;

/// A response of a target, as far as its request limit is concerned.
struct limit_observation {
  request_limit limit;
  common::time_point sent_at{};  ///< when its request was sent
  /// It is the target's own response, so that a missing limit means that there
  /// is none.
  bool conclusive = false;
};

/// The request limits that targets have named, as this gateway knows them from
/// its own responses and from other gateways' reports.
///
/// Responses of one target overtake each other. A limit that was named holds
/// until a response without one arrives to a request that was sent later. A
/// limit belongs to one start of its target.
class target_limits {
 public:
  explicit target_limits(common::clock& clock) : clock_(clock) {}

  /// @param handler receives each change that this gateway observes, for the
  /// other gateways
  void SetReportHandler(std::function<void(const limit_report&)> handler) {
    on_report_ = std::move(handler);
  }
  /// @param handler called with the id of a target that had no limit so far
  void SetBegunHandler(std::function<void(const std::string&)> handler) {
    on_begun_ = std::move(handler);
  }
  /// @param handler called with the id of a target whose limit has ended
  void SetEndedHandler(std::function<void(const std::string&)> handler) {
    on_ended_ = std::move(handler);
  }

  /// Applies what a response says.
  /// @param request_id of the request, for the log
  void OnResponse(const target_entry& target,
                  const limit_observation& observation,
                  std::string_view request_id);
  /// Merges another gateway's report, unless newer observations are known.
  void Merge(const limit_report& report, std::string_view gateway);
  /// Limits a target while it is cold, beside any limit that it names.
  /// @param per_second requests that it takes from all gateways; 0: it is warm
  void SetCold(const target_entry& target, double per_second,
               common::time_point until);
  /// Ends the limits of targets that are cold no longer than until then.
  /// @return number of cold targets that are left
  size_t EndColdUntil(common::time_point then);
  /// Forgets the limit of a start of a target that has left for good.
  void Forget(std::string_view target, int64_t started_ms);
  /// @return what is known, for a gateway that joins
  std::vector<limit_report> Reports() const;

  /// @return whether no target has a limit, which is the usual case
  bool empty() const { return limited_ == 0 && cold_.empty(); }
  size_t limited() const { return limited_; }
  /// @return requests per second that the target takes from all gateways,
  /// within the bounds of what can be scheduled; nothing if it has no limit
  std::optional<double> LimitOf(std::string_view target,
                                int64_t started_ms) const;

 private:
  struct entry {
    int64_t started_ms = 0;
    bool limited = false;  ///< else the limit has ended
    double per_second = 0;
    common::time_point observed_at{};
  };

  /// A start of a target that is cold.
  struct cold_start {
    int64_t started_ms = 0;
    double per_second = 0;
    common::time_point until{};
  };
  using cold_map = std::map<std::string, cold_start, std::less<>>;

  bool IsNamed(std::string_view target) const;
  cold_map::iterator EndCold(cold_map::iterator position);
  /// @return whether what was observed differs from what was known
  bool Apply(const std::string& target, const entry& observed);
  void Erase(std::map<std::string, entry, std::less<>>::iterator position);
  /// Makes room for one more entry.
  void EvictIfFull();
  limit_report ToReport(const std::string& target, const entry& known) const;
  void Log(const std::string& target, std::string_view request_id,
           std::string_view source, double previous) const;

  common::clock& clock_;
  std::map<std::string, entry, std::less<>> entries_;
  size_t limited_ = 0;
  cold_map cold_;  ///< by target
  std::function<void(const limit_report&)> on_report_;
  std::function<void(const std::string&)> on_begun_;
  std::function<void(const std::string&)> on_ended_;
};

}  // namespace wisteriadale::core
