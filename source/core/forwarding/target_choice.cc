#include "core/forwarding/target_choice.h"

#include <algorithm>

namespace wisteriadale::core {
namespace {

constexpr size_t kMostPartsPerTarget = 256;
constexpr double kBytesPerMegabyte = 1e6;
// Costs closer than this count as equal, so that gateways with the same view
// do not all choose the same target.
constexpr double kJitterMs = 2;

bool Contains(std::span<const std::string> list, const std::string& text) {
  return std::find(list.begin(), list.end(), text) != list.end();
}

}  // namespace

uint32_t prompt_hints::HeldTokens(std::string_view target,
                                  std::span<const prompt_part> parts) const {
  const auto found = targets_.find(std::string(target));
  if (found == targets_.end()) return 0;
  uint32_t tokens = 0;
  for (const prompt_part& part : parts) {
    if (!found->second.index.contains(part.id)) break;
    tokens += part.tokens;
  }
  return tokens;
}

void prompt_hints::NoteSent(const std::string& target,
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

void prompt_hints::Forget(std::string_view target) {
  targets_.erase(std::string(target));
}

double target_choice::Cost(const fleet_target& target,
                           const choice_question& question) const {
  const uint32_t held = hints_.HeldTokens(target.entry.id, question.parts);
  const double to_read =
      question.prompt_tokens > held ? question.prompt_tokens - held : 0;
  double cost = (target.outstanding_tokens + to_read) / options_.tokens_per_ms +
                options_.request_ms * target.in_flight;
  cost *= std::max(1.0, target.slowness);
  for (const auto& [data_centre, bytes] : question.input_bytes) {
    if (data_centre == target.entry.data_centre) continue;
    cost +=
        options_.megabyte_ms * static_cast<double>(bytes) / kBytesPerMegabyte;
  }
  if (target.entry.data_centre != data_centre_) cost += options_.distance_ms;
  return cost;
}

std::shared_ptr<fleet_target> target_choice::Choose(
    const choice_question& question) {
  const common::time_point now = clock_.Now();
  const target_directory::pool& pool = targets_.Pool(question.service);
  std::shared_ptr<fleet_target> best;
  double best_cost = 0;
  bool best_resting = false;
  for (const std::shared_ptr<fleet_target>& each : pool) {
    if (each->leaving || Contains(question.tried, each->entry.id)) continue;
    // A target that failed or refused is asked only if there is no other.
    const bool resting = each->ejected_until > now || each->full_until > now;
    const double cost = Cost(*each, question) + random_.Uniform() * kJitterMs;
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
