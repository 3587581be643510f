#include "core/routing/two_choices.h"

#include <algorithm>

#include "common/digest.h"
#include "core/routing/sampling.h"

namespace wisteriadale::core {
namespace {

/// Concurrency limit assumed for a target that does not report its load.
constexpr uint32_t kDefaultLimit = 8;
/// Share of the normal load that a target takes when it becomes available.
constexpr double kMinSlowStartFactor = 0.1;
/// Weight of the failure rate in the cost of a target.
constexpr double kFailurePenalty = 4.0;

}  // namespace

target_view* two_choices::Choose(const target_pool& pool,
                                 const routing_request& request) {
  const pool_subset& subset = subset_.SubsetFor(pool);
  target_view* chosen = nullptr;
  if (options_.prefix_affinity && !request.prefix_key.empty()) {
    chosen = ChooseByPrefix(subset.local, request);
  }
  if (chosen == nullptr) chosen = ChooseByLoad(subset, request);
  // Fall back to ejected targets and targets outside the subset.
  if (chosen == nullptr) {
    chosen = SampleAllowed(pool.members, request, random_);
  }
  if (chosen != nullptr && !request.prefix_key.empty()) {
    hints_.OnDispatch(common::Hash64(request.prefix_key), chosen->hash);
  }
  return chosen;
}

target_view* two_choices::ChooseByPrefix(members targets,
                                         const routing_request& request) {
  const uint64_t prefix = common::Hash64(request.prefix_key);
  target_view* owner = nullptr;
  uint64_t max_weight = 0;
  double load_sum = 0;
  size_t allowed = 0;
  for (target_view* view : targets) {
    if (!Allowed(*view, request)) continue;
    load_sum += Load(*view);
    ++allowed;
    const uint64_t weight = RendezvousWeight(view->hash, prefix);
    if (owner != nullptr && weight <= max_weight) continue;
    owner = view;
    max_weight = weight;
  }
  if (owner == nullptr) return nullptr;
  const double bound =
      options_.affinity_bound * load_sum / static_cast<double>(allowed);
  if (Load(*owner) <= bound && SlowStartFactor(owner) >= 1) return owner;
  // The owner is busy or in slow start: use another target that is likely to
  // have the prefix cached, if it is not busy.
  target_view* holder = ChooseOfTwo(targets, request);
  if (holder == nullptr || Load(*holder) > bound) return nullptr;
  return hints_.LikelyHolds(prefix, holder->hash) ? holder : nullptr;
}

target_view* two_choices::ChooseByLoad(const pool_subset& subset,
                                       const routing_request& request) {
  target_view* local = ChooseOfTwo(subset.local, request);
  if (local != nullptr && Load(*local) < options_.spill_at) return local;
  target_view* remote = ChooseOfTwo(subset.remote, request);
  if (local == nullptr || remote == nullptr) {
    return local != nullptr ? local : remote;
  }
  return Cost(remote) < Cost(local) ? remote : local;
}

target_view* two_choices::ChooseOfTwo(members targets,
                                      const routing_request& request) {
  target_view* first = Sample(targets, request);
  if (first == nullptr) return nullptr;
  target_view* second = Sample(targets, request);
  if (second == first) second = Sample(targets, request);
  return Cost(second) < Cost(first) ? second : first;
}

target_view* two_choices::Sample(members targets,
                                 const routing_request& request) {
  constexpr int kTries = 4;
  if (targets.empty()) return nullptr;
  for (int i = 0; i < kTries; ++i) {
    target_view* view = targets[random_.Below(targets.size())];
    if (Allowed(*view, request)) return view;
  }
  const size_t start = random_.Below(targets.size());
  for (size_t i = 0; i < targets.size(); ++i) {
    target_view* view = targets[(start + i) % targets.size()];
    if (Allowed(*view, request)) return view;
  }
  return nullptr;
}

bool two_choices::Allowed(const target_view& view,
                          const routing_request& request) const {
  return request.Allows(view) && view.health.ejected_until <= clock_.Now();
}

double two_choices::Load(const target_view& view) const {
  const uint32_t limit = view.load.limit > 0 ? view.load.limit : kDefaultLimit;
  return (view.Outstanding() + 1.0) / limit;
}

double two_choices::Cost(target_view* view) const {
  const double distance =
      view->data_centre == options_.data_centre ? 1 : options_.remote_penalty;
  const double failures = 1 + kFailurePenalty * view->health.failure_rate;
  return Load(*view) * distance * failures / SlowStartFactor(view);
}

double two_choices::SlowStartFactor(target_view* view) const {
  if (view->incarnation != view->seen_incarnation) {
    view->seen_incarnation = view->incarnation;
    view->available_since = clock_.Now();
  }
  const common::duration age = clock_.Now() - view->available_since;
  if (age >= options_.slow_start) return 1;
  const double share = static_cast<double>(age.count()) /
                       static_cast<double>(options_.slow_start.count());
  return std::max(kMinSlowStartFactor, share);
}

}  // namespace wisteriadale::core
