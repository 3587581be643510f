#include "core/fleet/target_directory.h"

#include <algorithm>

namespace wisteriadale::core {

std::string_view ToString(leaving_reason reason) {
  constexpr std::string_view kNames[] = {"draining", "gone", "replaced",
                                         "told"};
  return kNames[static_cast<size_t>(reason)];
}

void target_directory::Replace(std::span<const target_entry> entries) {
  std::set<std::string_view> listed;
  for (const target_entry& entry : entries) {
    listed.insert(entry.id);
    Update(entry);
  }
  std::vector<std::string> missing;
  for (const auto& [id, target] : by_id_) {
    if (!listed.contains(id)) missing.push_back(id);
  }
  for (const std::string& id : missing) Remove(id);
}

void target_directory::Update(const target_entry& entry) {
  const auto left = leaving_starts_.find(entry.id);
  // An outdated entry does not bring back a target that is leaving. A later
  // start with the same id does.
  if (left != leaving_starts_.end()) {
    if (entry.draining || entry.started_ms <= left->second) return;
    leaving_starts_.erase(left);
  }
  const auto found = by_id_.find(entry.id);
  if (found != by_id_.end()) {
    const std::shared_ptr<fleet_target> target = found->second;
    if (entry.draining) {
      Detach(target, leaving_reason::kDraining);
      return;
    }
    const bool restarted = target->entry.service != entry.service ||
                           target->entry.address != entry.address ||
                           target->entry.started_ms != entry.started_ms;
    if (!restarted) {
      target->entry = entry;
      return;
    }
    // The target was restarted: nothing learnt about the earlier start applies.
    Detach(target, leaving_reason::kReplaced);
    leaving_starts_.erase(entry.id);
  }
  if (entry.draining) {
    leaving_starts_[entry.id] = entry.started_ms;
    return;
  }
  const std::shared_ptr<fleet_target> target = std::make_shared<fleet_target>();
  target->entry = entry;
  by_id_[entry.id] = target;
  by_address_[entry.address] = target;
  AddToPool(target);
}

void target_directory::Remove(std::string_view id) {
  const auto found = by_id_.find(std::string(id));
  if (found == by_id_.end()) return;
  const std::shared_ptr<fleet_target> target = found->second;
  Detach(target, leaving_reason::kGone);
  // Entries may expire while the store is unavailable and return unchanged.
  leaving_starts_.erase(target->entry.id);
}

bool target_directory::MarkLeaving(std::string_view id) {
  const auto found = by_id_.find(std::string(id));
  if (found == by_id_.end()) return false;
  const std::shared_ptr<fleet_target> target = found->second;
  Detach(target, leaving_reason::kReportedByPeer);
  return true;
}

void target_directory::Detach(const std::shared_ptr<fleet_target>& target,
                              leaving_reason reason) {
  target->leaving = true;
  leaving_starts_[target->entry.id] = target->entry.started_ms;
  by_id_.erase(target->entry.id);
  const auto at = by_address_.find(target->entry.address);
  if (at != by_address_.end() && at->second == target) by_address_.erase(at);
  std::erase(pools_[target->entry.service], target);
  if (leaving_handler_) leaving_handler_(*target, reason);
}

void target_directory::AddToPool(const std::shared_ptr<fleet_target>& target) {
  pool& members = pools_[target->entry.service];
  const auto position =
      std::lower_bound(members.begin(), members.end(), target,
                       [](const std::shared_ptr<fleet_target>& left,
                          const std::shared_ptr<fleet_target>& right) {
                         return left->entry.id < right->entry.id;
                       });
  members.insert(position, target);
}

const target_directory::pool& target_directory::Pool(
    std::string_view service) const {
  static const pool kEmpty;
  const auto found = pools_.find(service);
  return found == pools_.end() ? kEmpty : found->second;
}

std::shared_ptr<fleet_target> target_directory::AtAddress(
    std::string_view address) const {
  const auto found = by_address_.find(std::string(address));
  return found == by_address_.end() ? nullptr : found->second;
}

std::shared_ptr<fleet_target> target_directory::Find(
    std::string_view id) const {
  const auto found = by_id_.find(std::string(id));
  return found == by_id_.end() ? nullptr : found->second;
}

bool target_directory::MostEjected(std::string_view service,
                                   common::time_point now) const {
  const pool& members = Pool(service);
  const auto ejected =
      std::count_if(members.begin(), members.end(),
                    [now](const std::shared_ptr<fleet_target>& each) {
                      return each->ejected_until > now;
                    });
  return static_cast<size_t>(ejected) * 2 > members.size();
}

}  // namespace wisteriadale::core
