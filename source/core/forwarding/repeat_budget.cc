#include "core/forwarding/repeat_budget.h"

namespace wisteriadale::core {

int64_t repeat_budget::SliceNumber() const {
  const common::duration length = options_.window / kSlices;
  return clock_.Now().time_since_epoch() / length;
}

repeat_budget::window& repeat_budget::WindowOf(std::string_view service) {
  const auto found = services_.find(service);
  if (found != services_.end()) return found->second;
  return services_[std::string(service)];
}

repeat_budget::slice& repeat_budget::Current(std::string_view service) {
  const int64_t number = SliceNumber();
  slice& current = WindowOf(service)[static_cast<size_t>(number) % kSlices];
  if (current.number != number) current = slice{number, 0, 0};
  return current;
}

void repeat_budget::OnRequest(std::string_view service) {
  Current(service).requests += 1;
}

bool repeat_budget::Take(std::string_view service) {
  slice& current = Current(service);
  double requests = 0;
  double repeats = 0;
  for (const slice& each : WindowOf(service)) {
    if (current.number - each.number >= static_cast<int64_t>(kSlices)) continue;
    requests += each.requests;
    repeats += each.repeats;
  }
  const double allowed =
      options_.used_part * (options_.ratio * requests +
                            options_.slack / static_cast<double>(gateways_));
  if (repeats + 1 > allowed) return false;
  current.repeats += 1;
  return true;
}

}  // namespace wisteriadale::core
