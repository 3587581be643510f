#include "core/forwarding/target_selector.h"

#include <algorithm>

#include "common/digest.h"
#include "core/routing/target_subset.h"

namespace wisteriadale::core {
namespace {

constexpr size_t kMaxPartsPerTarget = 256;
constexpr double kBytesPerMegabyte = 1e6;
// Random addition to costs, so that gateways with the same data do not all
// choose the same target.
constexpr double kJitterMs = 2;

/// @return the parts that other requests may share: all but the last, which is
/// specific to the request
std::span<const prompt_part> SharedParts(std::span<const prompt_part> parts) {
  return parts.empty() ? parts : parts.first(parts.size() - 1);
}

uint32_t TokensOf(std::span<const prompt_part> parts) {
  uint32_t tokens = 0;
  for (const prompt_part& part : parts) tokens += part.tokens;
  return tokens;
}

bool Contains(std::span<const std::string> list, const std::string& text) {
  return std::find(list.begin(), list.end(), text) != list.end();
}

}  // namespace

uint32_t prompt_cache_hints::HeldTokens(
    std::string_view target, std::span<const prompt_part> parts) const {
  const auto found = targets_.find(std::string(target));
  if (found == targets_.end()) return 0;
  uint32_t tokens = 0;
  for (const prompt_part& part : parts) {
    if (!found->second.index.contains(part.id)) break;
    tokens += part.tokens;
  }
  return tokens;
}

void prompt_cache_hints::NoteSent(const std::string& target,
                                  std::span<const prompt_part> parts) {
  cached_parts& cached = targets_[target];
  for (const prompt_part& part : parts) {
    const auto found = cached.index.find(part.id);
    if (found != cached.index.end()) {
      cached.order.splice(cached.order.begin(), cached.order, found->second);
      continue;
    }
    cached.order.push_front(part.id);
    cached.index[part.id] = cached.order.begin();
  }
  while (cached.order.size() > kMaxPartsPerTarget) {
    cached.index.erase(cached.order.back());
    cached.order.pop_back();
  }
}

void prompt_cache_hints::Forget(std::string_view target) {
  targets_.erase(std::string(target));
}

std::shared_ptr<fleet_target> target_selector::AffinityTarget(
    const selection_context& context) const {
  const std::span<const prompt_part> shared = SharedParts(context.parts);
  if (shared.empty()) return nullptr;
  const uint64_t key = common::Hash64(shared.back().id);
  std::shared_ptr<fleet_target> affinity_target;
  uint64_t best = 0;
  for (const std::shared_ptr<fleet_target>& each :
       targets_.Pool(context.service)) {
    const uint64_t weight =
        RendezvousWeight(common::Hash64(each->entry.id), key);
    if (affinity_target && weight <= best) continue;
    affinity_target = each;
    best = weight;
  }
  return affinity_target;
}

std::string target_selector::LikelyDataCentre(
    const selection_context& context) {
  const std::shared_ptr<fleet_target> likely = Choose(context).target;
  return likely ? likely->entry.data_centre : std::string();
}

double target_selector::Cost(const fleet_target& target,
                             const selection_context& context,
                             bool has_affinity) const {
  uint32_t held = hints_.HeldTokens(target.entry.id, context.parts);
  if (has_affinity) held = std::max(held, TokensOf(SharedParts(context.parts)));
  const double to_prefill =
      context.prompt_tokens > held ? context.prompt_tokens - held : 0;
  double cost =
      (target.outstanding_tokens + to_prefill) / options_.tokens_per_ms +
      options_.per_request_ms * target.in_flight;
  cost *= std::max(1.0, target.slowness);
  for (const auto& [data_centre, bytes] : context.input_bytes) {
    if (data_centre == target.entry.data_centre) continue;
    cost += options_.per_megabyte_ms * static_cast<double>(bytes) /
            kBytesPerMegabyte;
  }
  if (target.entry.data_centre != data_centre_) cost += options_.remote_ms;
  return cost;
}

bool target_selector::IsHeldBack(const fleet_target& target,
                                 common::time_point now) {
  if (target.returned_at == common::time_point{}) return false;
  const common::duration since = now - target.returned_at;
  if (since >= options_.return_ramp) return false;
  return random_.Uniform() * static_cast<double>(options_.return_ramp.count()) >
         static_cast<double>(since.count());
}

target_choice target_selector::Choose(const selection_context& context) {
  const common::time_point now = clock_.Now();
  const target_directory::pool& pool = targets_.Pool(context.service);
  const std::shared_ptr<fleet_target> affinity_target = AffinityTarget(context);
  /// The best target of those that are free, or of those that are limited.
  struct candidate {
    std::shared_ptr<fleet_target> target;
    double cost = 0;
    bool avoided = false;

    bool IsWorseThan(const candidate& other) const {
      if (!target || avoided != other.avoided) return !target || avoided;
      return other.cost < cost;
    }
  };
  candidate free;
  candidate limited;
  common::duration first_return = common::duration::max();
  for (const std::shared_ptr<fleet_target>& each : pool) {
    if (each->leaving || Contains(context.tried, each->entry.id)) continue;
    const common::duration back_off_left =
        context.statements == nullptr
            ? common::duration(0)
            : context.statements->BackOffLeft(each->entry);
    if (back_off_left.count() > 0) {
      first_return = std::min(first_return, back_off_left);
      continue;
    }
    // Ejected, overloaded and returning targets are only used if there is no
    // other.
    const bool avoided = each->ejected_until > now ||
                         each->overloaded_until > now || IsHeldBack(*each, now);
    candidate next{each,
                   Cost(*each, context, each == affinity_target) +
                       random_.Uniform() * kJitterMs,
                   avoided};
    const bool may_send =
        context.slots == nullptr || context.slots->MaySend(each->entry);
    if (!may_send) {
      next.cost += std::chrono::duration<double, std::milli>(
                       context.slots->ExpectedDelay(each->entry))
                       .count();
    }
    candidate& best = may_send ? free : limited;
    if (best.IsWorseThan(next)) best = next;
  }
  target_choice choice;
  choice.target = free.target;
  choice.ejected = free.target && free.target->ejected_until > now;
  if (limited.target && free.IsWorseThan(limited)) {
    choice.limited = limited.target;
  }
  if (!free.target && !limited.target &&
      first_return != common::duration::max()) {
    choice.back_off_left = first_return;
  }
  return choice;
}

}  // namespace wisteriadale::core
