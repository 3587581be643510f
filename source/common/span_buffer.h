#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/trace.h"

namespace wisteriadale::common {

/// Buffers finished spans and appends them to a file, one OTLP JSON document
/// per line. The buffer is bounded; spans that do not fit are dropped and
/// counted.
class span_buffer {
 public:
  /// @param service name of the process in the documents
  /// @param file    path; spans are appended
  /// @param limit   maximum number of spans buffered until the next Flush
  /// @return the buffer, or nothing with LastError set
  static std::optional<std::unique_ptr<span_buffer>> Create(
      std::string service, const std::string& file, size_t limit);
  ~span_buffer();
  span_buffer(const span_buffer&) = delete;
  span_buffer& operator=(const span_buffer&) = delete;

  /// Buffers a span, or drops and counts it when the buffer is full.
  void Add(const span_record& span);
  /// Writes the buffered spans as one document.
  void Flush();
  /// @return spans dropped since the start
  uint64_t dropped() const { return dropped_; }

 private:
  span_buffer(std::string service, int fd, size_t limit)
      : service_(std::move(service)), fd_(fd), limit_(limit) {}

  std::string service_;
  int fd_;
  size_t limit_;
  std::vector<span_record> spans_;
  uint64_t dropped_ = 0;
};

}  // namespace wisteriadale::common
