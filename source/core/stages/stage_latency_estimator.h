#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "common/clock.h"
#include "core/routes/route_table.h"

namespace wisteriadale::core {

/// Number of priority levels that a queue distinguishes. Lower priorities share
/// the last level.
inline constexpr size_t kPriorityLevels = 16;

/// Load of a queue, as reported by the gateway that owns it.
struct service_load {
  double pieces_per_s = 0;  ///< throughput of the targets with full batches
  common::duration call_time{0};  ///< smoothed duration of a call; 0: not known
  /// Pieces that are served before a new job of each level and can still meet
  /// their objective, including those of announced jobs.
  std::array<uint32_t, kPriorityLevels> ahead{};
  uint32_t late_pieces = 0;  ///< that can no longer meet their objective
  /// Throughput left for late pieces besides those that are in time.
  double late_pieces_per_s = 0;
};

struct stage_latency_estimator_options {
  /// Reports older than this are ignored; owners renew them while anything is
  /// queued.
  common::duration report_lifetime = std::chrono::milliseconds(400);
};

/// Time until the stages of a new request would complete.
struct latency_estimate {
  common::duration in_time{0};  ///< if queued among the jobs that are in time
  common::duration late{0};     ///< if queued behind all of them
};

/// Estimates the latency of a request's stages from the last load reports of
/// the queue owners and from the pieces this gateway has submitted since.
/// Overload of any stage is thus known before the first stage of a request
/// starts.
class stage_latency_estimator {
 public:
  stage_latency_estimator(const stage_latency_estimator_options& options,
                          common::clock& clock)
      : options_(options), clock_(clock) {}

  /// Stores a load report of a queue owner.
  void UpdateLoad(const std::string& service, const service_load& load);
  /// Counts pieces that this gateway has submitted until the next report covers
  /// them.
  void AddLocalPieces(const std::string& service, uint32_t pieces,
                      uint32_t priority);

  /// @param stages stages of the route
  /// @param pieces number of pieces of each stage; 0 skips a stage
  /// @return latency of the whole stage graph
  latency_estimate Estimate(const route_table& table,
                            std::span<const stage_spec> stages,
                            std::span<const uint32_t> pieces,
                            uint32_t priority) const;
  /// @return duration of a call of the service, without queueing
  common::duration EstimateCallTime(const route_table& table,
                                    const std::string& service) const;
  /// @return time until a stage that is submitted now completes
  common::duration EstimateCompletion(const route_table& table,
                                      const std::string& service,
                                      uint32_t priority) const;
  /// Records how long a completed stage took, to correct later estimates. Only
  /// stages that were expected to be in time may be recorded.
  /// @param estimated result of EstimateCompletion when the stage was submitted
  void RecordOutcome(const std::string& service, uint32_t priority,
                     common::duration estimated, common::duration took);

 private:
  struct reported_load {
    service_load load;
    common::time_point at;
  };

  /// Smoothed ratio of actual to estimated time.
  struct correction {
    double value = 1.0;
    common::time_point at{};
  };

  /// @return factor to multiply an estimate by
  double Correction(std::string_view service, uint32_t priority) const;
  /// @return the factor as of now: without new outcomes it decays towards 1
  double DecayedCorrection(const correction& stored) const;
  /// @return the last report if it is recent enough, or null
  const service_load* FindLoad(std::string_view service) const;
  common::duration CallTime(const service_spec& spec,
                            const service_load* load) const;

  stage_latency_estimator_options options_;
  common::clock& clock_;
  std::map<std::string, reported_load, std::less<>> loads_;
  std::map<std::string, std::array<correction, kPriorityLevels>, std::less<>>
      corrections_;  ///< by service and level
};

/// @return the level that a queue assigns to a priority
inline size_t PriorityLevel(uint32_t priority) {
  return priority < kPriorityLevels ? priority : kPriorityLevels - 1;
}

}  // namespace wisteriadale::core
