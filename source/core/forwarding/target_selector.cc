#include "core/forwarding/target_selector.h"

#include <algorithm>

#include "common/digest.h"
#include "core/routing/target_subset.h"

namespace wisteriadale::core {
namespace {

constexpr size_t kMostPartsPerTarget = 256;
constexpr double kBytesPerMegabyte = 1e6;
// Costs closer than this count as equal, so that gateways with the same view
// do not all choose the same target.
constexpr double kJitterMs = 2;

/// @return the parts that other requests may share: the last is a request's own
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
  held_parts& held = targets_[target];
  for (const prompt_part& part : parts) {
    const auto found = held.index.find(part.id);
    if (found != held.index.end()) {
      held.order.splice(held.order.begin(), held.order, found->second);
      continue;
    }
    held.order.push_front(part.id);
    held.index[part.id] = held.order.begin();
  }
  while (held.order.size() > kMostPartsPerTarget) {
    held.index.erase(held.order.back());
    held.order.pop_back();
  }
}

void prompt_cache_hints::Forget(std::string_view target) {
  targets_.erase(std::string(target));
}

std::shared_ptr<fleet_target> target_selector::HomeOf(
    const selection_context& question) const {
  const std::span<const prompt_part> shared = SharedParts(question.parts);
  if (shared.empty()) return nullptr;
  const uint64_t key = common::Hash64(shared.back().id);
  std::shared_ptr<fleet_target> home;
  uint64_t best = 0;
  for (const std::shared_ptr<fleet_target>& each :
       targets_.Pool(question.service)) {
    const uint64_t weight =
        RendezvousWeight(common::Hash64(each->entry.id), key);
    if (home && weight <= best) continue;
    home = each;
    best = weight;
  }
  return home;
}

std::string target_selector::LikelyDataCentre(
    const selection_context& question) {
  const std::shared_ptr<fleet_target> likely = Choose(question);
  return likely ? likely->entry.data_centre : std::string();
}

double target_selector::Cost(const fleet_target& target,
                             const selection_context& question,
                             bool is_home) const {
  uint32_t held = hints_.HeldTokens(target.entry.id, question.parts);
  if (is_home) held = std::max(held, TokensOf(SharedParts(question.parts)));
  const double to_read =
      question.prompt_tokens > held ? question.prompt_tokens - held : 0;
  double cost = (target.outstanding_tokens + to_read) / options_.tokens_per_ms +
                options_.per_request_ms * target.in_flight;
  cost *= std::max(1.0, target.slowness);
  for (const auto& [data_centre, bytes] : question.input_bytes) {
    if (data_centre == target.entry.data_centre) continue;
    cost += options_.per_megabyte_ms * static_cast<double>(bytes) /
            kBytesPerMegabyte;
  }
  if (target.entry.data_centre != data_centre_)
    cost += options_.cross_data_centre_ms;
  return cost;
}

std::shared_ptr<fleet_target> target_selector::Choose(
    const selection_context& question) {
  const common::time_point now = clock_.Now();
  const target_directory::pool& pool = targets_.Pool(question.service);
  const std::shared_ptr<fleet_target> home = HomeOf(question);
  std::shared_ptr<fleet_target> best;
  double best_cost = 0;
  bool best_resting = false;
  for (const std::shared_ptr<fleet_target>& each : pool) {
    if (each->leaving || Contains(question.tried, each->entry.id)) continue;
    // A target that failed or refused is asked only if there is no other.
    const bool resting =
        each->ejected_until > now || each->overloaded_until > now;
    const double cost =
        Cost(*each, question, each == home) + random_.Uniform() * kJitterMs;
    const bool better = !best || (best_resting && !resting) ||
                        (best_resting == resting && cost < best_cost);
    if (!better) continue;
    best = each;
    best_cost = cost;
    best_resting = resting;
  }
  return best;
}

}  // namespace wisteriadale::core
