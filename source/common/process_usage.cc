#include "common/process_usage.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "common/event_log.h"
#include "common/metrics.h"

namespace wisteriadale::common {
namespace {

// Growth below these figures is no sign of anything.
constexpr int64_t kMinResidentBytes = int64_t{16} << 20;
constexpr int64_t kMinDescriptors = 64;
constexpr int64_t kMinConnections = 64;
constexpr int64_t kUnknown = -1;

std::optional<int64_t> ReadResidentBytes(const std::string& directory) {
  std::ifstream statm(directory + "/statm");
  int64_t total_pages = 0;
  int64_t resident_pages = 0;
  if (!(statm >> total_pages >> resident_pages)) return std::nullopt;
  return resident_pages * sysconf(_SC_PAGESIZE);
}

std::optional<int64_t> CountDescriptors(const std::string& directory) {
  std::error_code error;
  std::filesystem::directory_iterator entry(directory + "/fd", error);
  // The iterator's own descriptor is among the entries.
  int64_t count = -1;
  while (!error && entry != std::filesystem::directory_iterator()) {
    ++count;
    entry.increment(error);
  }
  if (error || count < 0) return std::nullopt;
  return count;
}

std::optional<int64_t> ReadDescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return std::nullopt;
  return static_cast<int64_t>(limit.rlim_cur);
}

void SetGauge(std::string_view name, const std::optional<int64_t>& value) {
  if (value) Metrics().Set(name, static_cast<double>(*value));
}

/// @return whether the value is half as high again as the last one
bool Grown(int64_t value, int64_t last, int64_t minimum) {
  return value >= std::max(last + last / 2, minimum);
}

}  // namespace

process_usage ReadProcessUsage(const std::string& directory) {
  process_usage usage;
  usage.resident_bytes = ReadResidentBytes(directory);
  usage.open_descriptors = CountDescriptors(directory);
  usage.descriptor_limit = ReadDescriptorLimit();
  return usage;
}

void SetUsageMetrics(const process_usage& usage) {
  SetGauge("wisteria_resident_bytes", usage.resident_bytes);
  SetGauge("wisteria_open_descriptors", usage.open_descriptors);
  SetGauge("wisteria_descriptor_limit", usage.descriptor_limit);
  SetGauge("wisteria_connections", usage.connections);
}

void LogProcessUsage(const process_usage& usage, std::string_view reason) {
  LogEvent(log_event::kProcessUsage, "",
           {{"reason", reason},
            {"resident_bytes", usage.resident_bytes.value_or(kUnknown)},
            {"open_descriptors", usage.open_descriptors.value_or(kUnknown)},
            {"descriptor_limit", usage.descriptor_limit.value_or(kUnknown)},
            {"connections", usage.connections}});
}

bool usage_growth::Update(const process_usage& usage) {
  const int64_t resident = usage.resident_bytes.value_or(0);
  const int64_t descriptors = usage.open_descriptors.value_or(0);
  if (!Grown(resident, resident_bytes_, kMinResidentBytes) &&
      !Grown(descriptors, open_descriptors_, kMinDescriptors) &&
      !Grown(usage.connections, connections_, kMinConnections)) {
    return false;
  }
  // A figure that has fallen does not count as grown when it returns.
  resident_bytes_ = std::max(resident_bytes_, resident);
  open_descriptors_ = std::max(open_descriptors_, descriptors);
  connections_ = std::max(connections_, usage.connections);
  return true;
}

}  // namespace wisteriadale::common
