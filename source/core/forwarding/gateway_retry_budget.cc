#include "core/forwarding/gateway_retry_budget.h"

namespace wisteriadale::core {

int64_t gateway_retry_budget::SliceNumber() const {
  const common::duration length = options_.window / kSlices;
  return clock_.Now().time_since_epoch() / length;
}

gateway_retry_budget::window& gateway_retry_budget::WindowOf(
    std::string_view service) {
  const auto found = services_.find(service);
  if (found != services_.end()) return found->second;
  return services_[std::string(service)];
}

gateway_retry_budget::slice& gateway_retry_budget::CurrentSlice(
    std::string_view service) {
  const int64_t number = SliceNumber();
  slice& current = WindowOf(service)[static_cast<size_t>(number) % kSlices];
  if (current.number != number) current = slice{number, 0, 0};
  return current;
}

void gateway_retry_budget::OnRequest(std::string_view service) {
  CurrentSlice(service).requests += 1;
}

bool gateway_retry_budget::TryAcquire(std::string_view service) {
  slice& current = CurrentSlice(service);
  double requests = 0;
  double retries = 0;
  for (const slice& each : WindowOf(service)) {
    if (current.number - each.number >= static_cast<int64_t>(kSlices)) continue;
    requests += each.requests;
    retries += each.retries;
  }
  const double allowed =
      options_.used_share * (options_.ratio * requests +
                             options_.reserve / static_cast<double>(gateways_));
  if (retries + 1 > allowed) return false;
  current.retries += 1;
  return true;
}

}  // namespace wisteriadale::core
