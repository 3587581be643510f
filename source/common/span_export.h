#pragma once

#include <memory>
#include <optional>
#include <string>

#include "common/clock.h"
#include "common/span_buffer.h"

namespace wisteriadale::common {

/// Takes the spans of a process and writes them to a file from time to time.
class span_export {
 public:
  /// Makes itself the process's span sink.
  /// @param service name of the process in the documents
  /// @param file    path; spans are appended
  /// @return the export, or nothing with LastReason set
  static std::optional<std::unique_ptr<span_export>> Create(
      const std::string& service, const std::string& file,
      timer_service& timers);
  /// Writes what is left.
  ~span_export();
  span_export(const span_export&) = delete;
  span_export& operator=(const span_export&) = delete;

 private:
  explicit span_export(timer_service& timers) : timers_(timers) {}
  void FlushLater();

  timer_service& timers_;
  std::unique_ptr<span_buffer> spans_;
  timer_id timer_ = 0;
};

}  // namespace wisteriadale::common
