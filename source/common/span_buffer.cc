#include "common/span_buffer.h"

#include <fcntl.h>
#include <unistd.h>

#include "common/last_error.h"
#include "common/metrics.h"

namespace wisteriadale::common {
namespace {

constexpr int kFileMode = 0644;

}  // namespace

std::optional<std::unique_ptr<span_buffer>> span_buffer::Create(
    std::string service, const std::string& file, size_t limit) {
  const int fd =
      open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  if (fd < 0) {
    SetLastError(result_code::kBadSettings, file + ": cannot be written");
    return std::nullopt;
  }
  return std::unique_ptr<span_buffer>(
      new span_buffer(std::move(service), fd, limit));
}

span_buffer::~span_buffer() {
  Flush();
  close(fd_);
}

void span_buffer::Add(const span_record& span) {
  if (spans_.size() >= limit_) {
    ++dropped_;
    Metrics().Count("wisteria_spans_dropped_total");
    return;
  }
  spans_.push_back(span);
}

void span_buffer::Flush() {
  if (spans_.empty()) return;
  const std::string line = OtlpJson(service_, spans_) + "\n";
  const ssize_t written = write(fd_, line.data(), line.size());
  if (written != static_cast<ssize_t>(line.size())) {
    dropped_ += spans_.size();
    Metrics().Count("wisteria_spans_dropped_total", {}, spans_.size());
  }
  spans_.clear();
}

}  // namespace wisteriadale::common
