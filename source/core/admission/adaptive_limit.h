#pragma once

#include "core/admission/concurrency_limit.h"

namespace wisteriadale::core {

/// Bounds and speed of an adaptive limit.
struct adaptive_limit_options {
  uint32_t minimum = 1;
  uint32_t maximum = 64;
  uint32_t initial = 8;
  /// Time on the target, relative to its time when little runs, above which
  /// the limit goes down.
  double tolerance = 2.0;
  double decrease = 0.9;   ///< factor of the smallest step down
  uint32_t window = 500;   ///< results after which a reference is out of date
  double smoothing = 0.2;  ///< weight of a new result
};

/// Additive increase while attempts take about as long as when little runs,
/// multiplicative decrease once they take longer or fail. At most one step for
/// as many results as may run at one time.
///
/// The reference is the time of attempts that ran at a quarter of the limit or
/// less. Where a window holds none of them, as under steady overload, the limit
/// is lowered for a few results to renew it; otherwise the reference would rise
/// with the load that it is meant to bound.
class adaptive_limit final : public concurrency_limit {
 public:
  explicit adaptive_limit(const adaptive_limit_options& options);

  uint32_t Limit() const override;
  void OnResult(common::duration took, uint32_t running, bool ok) override;

 private:
  uint32_t LowRunning() const;
  void Learn(double took_us, uint32_t running);
  void CloseWindow();
  void MaybeStep();

  adaptive_limit_options options_;
  double limit_;
  double smoothed_us_ = 0;
  double reference_us_ = 0;
  uint32_t window_results_ = 0;
  uint32_t window_low_results_ = 0;  ///< of those, with little running
  bool probing_ = false;
  uint32_t results_since_step_ = 0;
  uint32_t most_running_ = 0;  ///< since the last step
  uint32_t failures_ = 0;      ///< since the last step
};

}  // namespace wisteriadale::core
