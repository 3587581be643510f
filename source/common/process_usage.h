#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriadale::common {

/// What a process holds of its VM's limited resources. A figure that the
/// operating system does not offer is empty.
struct process_usage {
  std::optional<int64_t> resident_bytes;
  std::optional<int64_t> open_descriptors;
  std::optional<int64_t> descriptor_limit;
  /// Connections that the process serves; counted by the caller.
  int64_t connections = 0;
};

/// What a VM, the settings and the operating system give a process.
struct process_resources {
  double memory_mb = 0;                     ///< in MB
  int64_t descriptors = 0;                  ///< for all connections together
  std::optional<int64_t> descriptor_limit;  ///< of the operating system
};

/// Reads the usage of this process, without its connections.
/// @param directory of the process in the proc file system
process_usage ReadProcessUsage(const std::string& directory = "/proc/self");

/// Sets the usage as gauges; figures that are empty are left out.
void SetUsageMetrics(const process_usage& usage);

/// Logs the usage.
/// @param reason why the line is written
void LogProcessUsage(const process_usage& usage, std::string_view reason);

/// Finds out when the usage has grown notably. The lines that follow from it
/// are few, as each takes more than the one before.
class usage_growth {
 public:
  /// @return whether a figure is half as high again as at the last true result
  bool Update(const process_usage& usage);

 private:
  int64_t resident_bytes_ = 0;
  int64_t open_descriptors_ = 0;
  int64_t connections_ = 0;
};

}  // namespace wisteriadale::common
