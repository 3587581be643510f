#include "common/event_log.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "common/log.h"

namespace wisteriadale::common {
namespace {

constexpr size_t kEvents = static_cast<size_t>(log_event::kCount);
constexpr std::array<std::string_view, kEvents> kNames = {"started",
                                                          "stopping",
                                                          "stopped",
                                                          "settings_read",
                                                          "dependency_lost",
                                                          "dependency_regained",
                                                          "store_restored",
                                                          "routes_applied",
                                                          "routes_passed",
                                                          "routes_requested",
                                                          "routes_refused",
                                                          "key_dropped",
                                                          "target_leaving",
                                                          "removals_held",
                                                          "target_rests",
                                                          "target_backs_off",
                                                          "statement_invalid",
                                                          "entry_refused",
                                                          "entry_outdated",
                                                          "limit_ended",
                                                          "limit_invalid",
                                                          "limit_owner_lost",
                                                          "limit_slot",
                                                          "slot_wait",
                                                          "limit_named",
                                                          "evacuation_changed",
                                                          "target_cold",
                                                          "store_reader_chosen",
                                                          "gateway_linked",
                                                          "gateway_lost",
                                                          "owner_changed",
                                                          "speed_changed",
                                                          "connections_limited",
                                                          "listen_failed",
                                                          "process_usage",
                                                          "loop_stalled",
                                                          "bytes_undelivered",
                                                          "routed",
                                                          "refused",
                                                          "admitted_late",
                                                          "sent",
                                                          "attempt_ended",
                                                          "resumed",
                                                          "stage_ended",
                                                          "call_ended",
                                                          "answered",
                                                          "cancelled",
                                                          "crash_suspected",
                                                          "suspects_read",
                                                          "suspects_written",
                                                          "quarantined",
                                                          "memory_given_up",
                                                          "message_too_large"};
// Lines per second of each event: a request logs three of them, and a gateway
// on a fifth of a core serves some 60 requests per second.
constexpr double kLinesPerSecond = 120;

std::array<log_rate_limiter, kEvents> MakeRates() {
  return []<size_t... index>(std::index_sequence<index...>) {
    return std::array<log_rate_limiter, kEvents>{
        ((void)index, log_rate_limiter(kLinesPerSecond))...};
  }
  (std::make_index_sequence<kEvents>());
}

void AppendNumber(auto value, std::string* to) {
  std::array<char, 32> text{};
  const std::to_chars_result done =
      std::to_chars(text.data(), text.data() + text.size(), value);
  to->append(text.data(), done.ptr);
}

/// Appends the value of a field as JSON.
struct value_writer {
  std::string* to;

  void operator()(std::string_view text) const { AppendJsonString(text, to); }
  void operator()(int64_t number) const { AppendNumber(number, to); }
  void operator()(double number) const { AppendNumber(number, to); }
  void operator()(bool flag) const { to->append(flag ? "true" : "false"); }
};

}  // namespace

std::string_view ToString(log_event event) {
  return kNames[static_cast<size_t>(event)];
}

bool log_rate_limiter::Admit(time_point now) {
  const double elapsed =
      std::chrono::duration<double>(now - refilled_at_).count();
  tokens_ = std::min(per_second_, tokens_ + elapsed * per_second_);
  refilled_at_ = now;
  if (tokens_ < 1) {
    ++suppressed_;
    return false;
  }
  tokens_ -= 1;
  return true;
}

uint64_t log_rate_limiter::TakeSuppressed() {
  return std::exchange(suppressed_, 0);
}

void LogEvent(log_event event, std::string_view request_id,
              std::initializer_list<log_field> fields) {
  if (!EventLoggingEnabled()) return;
  static std::array<log_rate_limiter, kEvents> rates = MakeRates();
  static const system_clock kClock;
  log_rate_limiter& rate = rates[static_cast<size_t>(event)];
  if (!rate.Admit(kClock.Now())) return;
  std::string line = BeginJsonLine(ToString(event));
  if (!request_id.empty()) {
    line.append(",\"request_id\":");
    AppendJsonString(request_id, &line);
  }
  for (const log_field& field : fields) {
    line.append(",\"").append(field.name).append("\":");
    std::visit(value_writer{&line}, field.value);
  }
  const uint64_t suppressed = rate.TakeSuppressed();
  if (suppressed > 0) {
    line.append(",\"left_out\":");
    AppendNumber(suppressed, &line);
  }
  line.push_back('}');
  WriteLogLine(line);
}

}  // namespace wisteriadale::common
