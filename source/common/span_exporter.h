#pragma once

#include <memory>
#include <optional>
#include <string>

#include "common/clock.h"
#include "common/span_buffer.h"

namespace wisteriadale::common {

/// Exports the spans of a process to a file, in periodic batches.
class span_exporter {
 public:
  /// Creates the exporter and sets it as the process's span sink.
  /// @param service name of the process in the documents
  /// @param file    path; spans are appended
  /// @param timers  schedules the flushes
  /// @return the exporter, or nothing with LastError set
  static std::optional<std::unique_ptr<span_exporter>> Create(
      const std::string& service, const std::string& file,
      timer_service& timers);
  /// Writes the spans that are still buffered.
  ~span_exporter();
  span_exporter(const span_exporter&) = delete;
  span_exporter& operator=(const span_exporter&) = delete;

 private:
  explicit span_exporter(timer_service& timers) : timers_(timers) {}
  void ScheduleFlush();

  timer_service& timers_;
  std::unique_ptr<span_buffer> spans_;
  timer_id timer_ = 0;
};

}  // namespace wisteriadale::common
