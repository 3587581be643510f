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

/// Levels of priority that a queue tells apart; lower priorities share the
/// last.
inline constexpr size_t kPriorityLevels = 4;

/// What the owner of a queue tells of it.
struct service_load {
  double pieces_per_s = 0;        ///< that the targets make when calls are full
  common::duration call_time{0};  ///< usual time of one call
  /// Pieces that go before a new order of each level and can still meet their
  /// objective, announced ones too.
  std::array<uint32_t, kPriorityLevels> ahead{};
  uint32_t late_pieces = 0;  ///< that cannot meet their objective any more
  /// Late pieces that the targets make beside those that can meet theirs.
  double late_pieces_per_s = 0;
};

struct stage_latency_estimator_options {
  /// A report counts for this long; it is renewed while anything is queued.
  common::duration report_life = std::chrono::milliseconds(400);
};

/// How long the stages of a new request would take.
struct latency_estimate {
  common::duration in_time{0};  ///< among the orders that meet their objective
  common::duration late{0};     ///< behind all of them
};

/// Estimates the time of a request's stages from what the owners of the queues
/// last told and from what this gateway asked for since. Load it answers: more
/// requests than a stage can make, known before their first stage begins.
class stage_latency_estimator {
 public:
  stage_latency_estimator(const stage_latency_estimator_options& options,
                          common::clock& clock)
      : options_(options), clock_(clock) {}

  void UpdateLoad(const std::string& service, const service_load& load);
  /// This gateway asked for pieces that no report tells of yet.
  void AddLocalPieces(const std::string& service, uint32_t pieces,
                      uint32_t priority);

  /// @param stages stages of the route
  /// @param pieces number of pieces of each
  latency_estimate Estimate(const route_table& table,
                            std::span<const stage_spec> stages,
                            std::span<const uint32_t> pieces,
                            uint32_t priority) const;
  /// @return time that a stage takes once its call begins
  common::duration EstimateCallTime(const route_table& table,
                                    const std::string& service) const;
  /// @return time from now to the end of a stage that is asked for now
  common::duration EstimateCompletion(const route_table& table,
                                      const std::string& service,
                                      uint32_t priority) const;
  /// A stage that was expected to be made in time is made.
  /// @param estimated as EstimateCompletion returned it when the stage was
  /// asked for
  void RecordOutcome(const std::string& service, uint32_t priority,
                     common::duration estimated, common::duration took);

 private:
  struct noted_load {
    service_load load;
    common::time_point at;
  };

  /// Time taken over time estimated, smoothed.
  struct correction {
    double value = 1.0;
    common::time_point at{};
  };

  double Correction(std::string_view service, uint32_t priority) const;
  /// @return the correction as it counts now: without outcomes it is forgotten
  double Current(const correction& of) const;
  const service_load* Find(std::string_view service) const;
  common::duration CallTime(const service_spec& spec,
                            const service_load* load) const;

  stage_latency_estimator_options options_;
  common::clock& clock_;
  std::map<std::string, noted_load, std::less<>> loads_;
  std::map<std::string, std::array<correction, kPriorityLevels>, std::less<>>
      corrections_;  ///< of each service and level
};

/// @return the level that a queue counts a priority in
inline size_t PriorityLevel(uint32_t priority) {
  return priority < kPriorityLevels ? priority : kPriorityLevels - 1;
}

}  // namespace wisteriadale::core
