#pragma once

#include "core/admission/concurrency_limit.h"

namespace wisteriadale::core {

/// Range and sensitivity of an adaptive limit.
struct adaptive_limit_options {
  uint32_t minimum = 1;
  uint32_t maximum = 64;
  uint32_t initial = 8;
  /// Ratio of the latency to the baseline latency above which the limit is
  /// decreased.
  double tolerance = 2.0;
  double decrease = 0.9;  ///< factor of the smallest decrease
  /// Number of results after which the baseline latency is out of date.
  uint32_t window = 500;
  double smoothing = 0.2;  ///< EWMA weight of a new result
};

/// Concurrency limit with additive increase and multiplicative decrease (AIMD).
/// It grows while the latency stays near the baseline latency and shrinks when
/// the latency rises or attempts fail. It is adjusted at most once per as many
/// results as the limit allows to run.
///
/// The baseline latency is measured at low concurrency: a quarter of the limit
/// or less. If too few results of a window were measured so, as under steady
/// overload, the limit is lowered for a few results to measure it again.
/// Otherwise the baseline would rise with the load that it is meant to bound.
class adaptive_limit final : public concurrency_limit {
 public:
  explicit adaptive_limit(const adaptive_limit_options& options);

  uint32_t Limit() const override;
  void OnResult(common::duration took, uint32_t running, bool ok) override;

 private:
  /// @return number of running attempts up to which latencies are baseline ones
  uint32_t LowConcurrency() const;
  void RecordLatency(double latency_us, uint32_t running);
  /// Ends probing after enough results at low concurrency; starts it at the end
  /// of a window that had too few of them.
  void UpdateProbing();
  /// Increases or decreases the limit if there are enough results.
  void MaybeAdjust();

  adaptive_limit_options options_;
  double limit_;
  double latency_us_ = 0;           ///< EWMA
  double baseline_latency_us_ = 0;  ///< EWMA
  uint32_t window_results_ = 0;
  uint32_t window_low_results_ = 0;  ///< of those, at low concurrency
  bool probing_ = false;      ///< limit is lowered to measure the baseline
  uint32_t results_ = 0;      ///< since the last adjustment
  uint32_t max_running_ = 0;  ///< since the last adjustment
  uint32_t failures_ = 0;     ///< since the last adjustment
};

}  // namespace wisteriadale::core
