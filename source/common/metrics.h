#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

#include "common/clock.h"

namespace wisteriadale::common {

/// One label of a metric.
struct metric_label {
  std::string_view name;
  std::string_view value;
};

using metric_labels = std::initializer_list<metric_label>;

/// Counters, gauges and latency histograms of one process. Takes no locks: only
/// the thread of one event loop may use it.
class metric_registry {
 public:
  metric_registry();
  ~metric_registry();
  metric_registry(const metric_registry&) = delete;
  metric_registry& operator=(const metric_registry&) = delete;

  /// Adds to a counter.
  void Count(std::string_view name, metric_labels labels = {}, uint64_t by = 1);
  /// Sets a gauge.
  void Set(std::string_view name, double value, metric_labels labels = {});
  /// Records a latency in a histogram (10 us to 100 s, logarithmic bins).
  void Observe(std::string_view name, duration latency,
               metric_labels labels = {});
  /// @return the counter's value; 0 when it was never incremented
  uint64_t Counter(std::string_view name, metric_labels labels = {}) const;
  /// @param quantile in [0, 1]
  /// @return the quantile of a histogram, or zero when it is empty
  duration Quantile(std::string_view name, double quantile,
                    metric_labels labels = {}) const;
  /// @return all metrics in the Prometheus text format
  std::string PrometheusText() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

/// @return the registry of this process
metric_registry& Metrics();

}  // namespace wisteriadale::common
