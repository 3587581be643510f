#include "common/metrics.h"

#include <array>
#include <boost/histogram.hpp>
#include <charconv>
#include <map>
#include <sstream>

namespace wisteriadale::common {
namespace {

namespace bh = boost::histogram;

constexpr unsigned kBins = 70;
constexpr double kLowestSeconds = 1e-5;
constexpr double kHighestSeconds = 100.0;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using histogram = decltype(bh::make_histogram(log_axis()));

struct series {
  histogram bins =
      bh::make_histogram(log_axis(kBins, kLowestSeconds, kHighestSeconds));
  double sum_seconds = 0;
  uint64_t count = 0;
};

std::string LabelText(metric_labels labels) {
  std::string text;
  for (const metric_label& label : labels) {
    if (!text.empty()) text.push_back(',');
    text.append(label.name).append("=\"").append(label.value).append("\"");
  }
  return text;
}

/// Name and rendered labels of one time series.
struct series_key {
  std::string name;
  std::string labels;
  bool operator<(const series_key& other) const {
    return std::tie(name, labels) < std::tie(other.name, other.labels);
  }
};

series_key KeyOf(std::string_view name, metric_labels labels) {
  return {std::string(name), LabelText(labels)};
}

std::string Braced(const std::string& labels) {
  return labels.empty() ? "" : "{" + labels + "}";
}

void WriteHistogram(std::ostringstream& out, const series_key& key,
                    const series& values) {
  const std::string prefix = key.labels.empty() ? "" : key.labels + ",";
  // Values below the lowest edge count towards every cumulative bucket.
  uint64_t cumulative = static_cast<uint64_t>(values.bins.at(-1));
  for (unsigned i = 0; i < kBins; ++i) {
    cumulative += static_cast<uint64_t>(values.bins.at(static_cast<int>(i)));
    if (i % 5 != 4) continue;
    out << key.name << "_bucket{" << prefix << "le=\""
        << values.bins.axis().bin(static_cast<int>(i)).upper() << "\"} "
        << cumulative << "\n";
  }
  out << key.name << "_bucket{" << prefix << "le=\"+Inf\"} " << values.count
      << "\n";
  out << key.name << "_sum" << Braced(key.labels) << " " << values.sum_seconds
      << "\n";
  out << key.name << "_count" << Braced(key.labels) << " " << values.count
      << "\n";
}

/// @return the shortest text that parses back to the same value
std::string Shortest(double value) {
  std::array<char, 32> text;
  const std::to_chars_result end =
      std::to_chars(text.data(), text.data() + text.size(), value);
  return {text.data(), end.ptr};
}

}  // namespace

struct metric_registry::state {
  std::map<series_key, uint64_t> counters;
  std::map<series_key, double> gauges;
  std::map<series_key, series> histograms;
};

metric_registry::metric_registry() : state_(std::make_unique<state>()) {}
metric_registry::~metric_registry() = default;

void metric_registry::Count(std::string_view name, metric_labels labels,
                            uint64_t by) {
  state_->counters[KeyOf(name, labels)] += by;
}

void metric_registry::Set(std::string_view name, double value,
                          metric_labels labels) {
  state_->gauges[KeyOf(name, labels)] = value;
}

void metric_registry::Observe(std::string_view name, duration latency,
                              metric_labels labels) {
  series& values = state_->histograms[KeyOf(name, labels)];
  const double seconds = std::chrono::duration<double>(latency).count();
  values.bins(seconds);
  values.sum_seconds += seconds;
  ++values.count;
}

uint64_t metric_registry::Counter(std::string_view name,
                                  metric_labels labels) const {
  std::map<series_key, uint64_t>::const_iterator found =
      state_->counters.find(KeyOf(name, labels));
  return found == state_->counters.end() ? 0 : found->second;
}

duration metric_registry::Quantile(std::string_view name, double quantile,
                                   metric_labels labels) const {
  const auto found = state_->histograms.find(KeyOf(name, labels));
  if (found == state_->histograms.end()) return duration::zero();
  const series& values = found->second;
  if (values.count == 0) return duration::zero();
  const double wanted = quantile * static_cast<double>(values.count);
  double seen = values.bins.at(-1);
  for (unsigned i = 0; i < kBins; ++i) {
    seen += values.bins.at(static_cast<int>(i));
    if (seen < wanted) continue;
    const double upper = values.bins.axis().bin(static_cast<int>(i)).upper();
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(upper));
  }
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(kHighestSeconds));
}

std::string metric_registry::PrometheusText() const {
  std::ostringstream out;
  for (const auto& [key, value] : state_->counters) {
    out << key.name << Braced(key.labels) << " " << value << "\n";
  }
  for (const auto& [key, value] : state_->gauges) {
    out << key.name << Braced(key.labels) << " " << Shortest(value) << "\n";
  }
  for (const auto& [key, values] : state_->histograms) {
    WriteHistogram(out, key, values);
  }
  return out.str();
}

metric_registry& Metrics() {
  static metric_registry registry;
  return registry;
}

}  // namespace wisteriadale::common
