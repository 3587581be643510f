#include "core/limits/cold_targets.h"

#include <algorithm>

#include "common/event_log.h"

namespace wisteriadale::core {
namespace {

using common::log_event;

constexpr common::duration kCheckPeriod = std::chrono::milliseconds(250);
// A target can become cold again just before its entry is written, and entries
// are late: it is taken for cold for at most this many times what its service
// says.
constexpr int kMaxColdTimes = 2;

}  // namespace

cold_targets::cold_targets(target_directory& targets,
                           const route_holder& routes, target_limits& limits,
                           common::clock& clock, common::timer_service& timers)
    : targets_(targets),
      routes_(routes),
      limits_(limits),
      clock_(clock),
      timers_(timers) {
  targets_.SetEntryHandler(
      [this](const fleet_target& target) { Update(target); });
}

cold_targets::~cold_targets() { timers_.Cancel(timer_); }

void cold_targets::OnRoutesChanged() {
  targets_.ForEach([this](const fleet_target& target) { Update(target); });
}

void cold_targets::Update(const fleet_target& target) {
  const std::shared_ptr<const route_table> table = routes_.current();
  const service_spec* service =
      table ? table->FindService(target.entry.service) : nullptr;
  // Without routes nothing is sent.
  if (service == nullptr) return;
  common::duration remaining = target.entry.warm_up_remaining;
  if (service->cold_per_second <= 0) remaining = common::duration(0);
  if (remaining.count() <= 0) {
    limits_.SetCold(target.entry, 0, {});
    return;
  }
  const common::duration longest = kMaxColdTimes * service->cold_time;
  if (longest.count() > 0 && remaining > longest) {
    common::LogEvent(log_event::kStatementInvalid, "",
                     {{"target", target.entry.id},
                      {"cold_ms", common::ToMillis(remaining)},
                      {"used_ms", common::ToMillis(longest)}});
    remaining = longest;
  }
  limits_.SetCold(target.entry, service->cold_per_second,
                  clock_.Now() + remaining);
  if (timer_ == 0) {
    timer_ = timers_.Schedule(kCheckPeriod, [this] { EndPast(); });
  }
}

void cold_targets::EndPast() {
  timer_ = 0;
  if (limits_.EndColdUntil(clock_.Now()) == 0) return;
  timer_ = timers_.Schedule(kCheckPeriod, [this] { EndPast(); });
}

}  // namespace wisteriadale::core
