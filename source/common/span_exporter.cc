#include "common/span_exporter.h"

namespace wisteriadale::common {
namespace {

constexpr size_t kMaxBufferedSpans = 20000;
constexpr duration kFlushPeriod = std::chrono::seconds(1);

}  // namespace

std::optional<std::unique_ptr<span_exporter>> span_exporter::Create(
    const std::string& service, const std::string& file,
    timer_service& timers) {
  std::optional<std::unique_ptr<span_buffer>> opened =
      span_buffer::Create(service, file, kMaxBufferedSpans);
  if (!opened) return std::nullopt;
  std::unique_ptr<span_exporter> started(new span_exporter(timers));
  started->spans_ = std::move(*opened);
  SetSpanSink([spans = started->spans_.get()](const span_record& span) {
    spans->Add(span);
  });
  started->ScheduleFlush();
  return started;
}

span_exporter::~span_exporter() {
  SetSpanSink({});
  timers_.Cancel(timer_);
  spans_->Flush();
}

void span_exporter::ScheduleFlush() {
  timer_ = timers_.Schedule(kFlushPeriod, [this] {
    spans_->Flush();
    ScheduleFlush();
  });
}

}  // namespace wisteriadale::common
