#include "core/fleet/target_directory.h"

#include <algorithm>

namespace wisteriadale::core {
namespace {

// More than leave within the age of any copy of the store.
constexpr size_t kMaxDepartures = 10000;

}  // namespace

std::string_view ToString(leaving_reason reason) {
  constexpr std::string_view kNames[] = {"draining", "gone", "replaced", "told",
                                         "stated"};
  return kNames[static_cast<size_t>(reason)];
}

bool target_directory::Update(const target_entry& entry, entry_origin origin) {
  const bool may_be_old = origin == entry_origin::kRestoredStore;
  const auto left = departures_.find(entry.id);
  if (left != departures_.end()) {
    const departure& last = left->second;
    const bool later_start = entry.started_ms > last.started_ms;
    // A target that is leaving only comes back with a later start.
    if (!last.may_return && (entry.draining || !later_start)) return true;
    if (may_be_old && !later_start) return false;
    departures_.erase(left);
  }
  const auto found = by_id_.find(entry.id);
  if (found != by_id_.end()) {
    const std::shared_ptr<fleet_target> target = found->second;
    if (may_be_old && entry.started_ms < target->entry.started_ms) return false;
    if (entry.draining) {
      Detach(target, leaving_reason::kDraining);
      return true;
    }
    const bool restarted = target->entry.service != entry.service ||
                           target->entry.address != entry.address ||
                           target->entry.started_ms != entry.started_ms;
    if (!restarted) {
      const bool moved = target->entry.data_centre != entry.data_centre;
      if (moved) RemoveFromPool(target);
      target->entry = entry;
      if (moved) AddToPool(target);
      if (entry_handler_) entry_handler_(*target);
      return true;
    }
    // The target was restarted: nothing learnt about the earlier start applies.
    target->next_started_ms = entry.started_ms;
    Detach(target, leaving_reason::kReplaced);
    departures_.erase(entry.id);
  }
  if (entry.draining) {
    RecordDeparture({entry.id, entry.started_ms}, false);
    return true;
  }
  const std::shared_ptr<fleet_target> target = std::make_shared<fleet_target>();
  target->entry = entry;
  by_id_[entry.id] = target;
  by_address_[entry.address] = target;
  AddToPool(target);
  if (entry_handler_) entry_handler_(*target);
  return true;
}

void target_directory::ForEach(
    const std::function<void(const fleet_target&)>& action) const {
  for (const auto& [id, target] : by_id_) action(*target);
}

void target_directory::RemoveMissing(const std::set<std::string_view>& listed) {
  std::vector<std::string> missing;
  for (const auto& [id, target] : by_id_) {
    if (!listed.contains(id)) missing.push_back(id);
  }
  for (const std::string& id : missing) Remove(id);
}

void target_directory::Remove(std::string_view id) {
  const auto found = by_id_.find(std::string(id));
  if (found == by_id_.end()) return;
  const std::shared_ptr<fleet_target> target = found->second;
  Detach(target, leaving_reason::kGone);
}

void target_directory::Remove(const target_start& gone) {
  if (FindStart(gone) != nullptr) {
    Remove(gone.id);
  } else {
    RecordReported(gone, true);
  }
}

bool target_directory::MarkLeaving(const target_start& leaving,
                                   leaving_reason reason) {
  const std::shared_ptr<fleet_target> target = FindStart(leaving);
  if (target == nullptr) {
    RecordReported(leaving, false);
    return false;
  }
  Detach(target, reason);
  return true;
}

void target_directory::RecordReported(const target_start& start,
                                      bool may_return) {
  if (start.started_ms == 0 || by_id_.contains(start.id)) return;
  const auto known = departures_.find(start.id);
  const bool is_news =
      known == departures_.end() ||
      known->second.started_ms < start.started_ms ||
      (known->second.started_ms == start.started_ms && !may_return);
  if (is_news) RecordDeparture(start, may_return);
}

departed_targets target_directory::RecentDepartures(size_t limit) const {
  departed_targets result;
  for (auto each = departure_order_.rbegin();
       each != departure_order_.rend() &&
       result.leaving.size() + result.gone.size() < limit;
       ++each) {
    const auto found = departures_.find(each->first);
    // The target came back, or left once more since.
    if (found == departures_.end() || found->second.number != each->second) {
      continue;
    }
    (found->second.may_return ? result.gone : result.leaving)
        .push_back({found->first, found->second.started_ms});
  }
  return result;
}

std::shared_ptr<fleet_target> target_directory::FindStart(
    const target_start& start) const {
  const std::shared_ptr<fleet_target> target = Find(start.id);
  const bool started_again = target != nullptr && start.started_ms != 0 &&
                             target->entry.started_ms > start.started_ms;
  return started_again ? nullptr : target;
}

void target_directory::Detach(const std::shared_ptr<fleet_target>& target,
                              leaving_reason reason) {
  target->leaving = true;
  target->vanished =
      reason == leaving_reason::kGone || reason == leaving_reason::kReplaced;
  RecordDeparture({target->entry.id, target->entry.started_ms},
                  reason == leaving_reason::kGone);
  by_id_.erase(target->entry.id);
  const auto at = by_address_.find(target->entry.address);
  if (at != by_address_.end() && at->second == target) by_address_.erase(at);
  RemoveFromPool(target);
  if (leaving_handler_) leaving_handler_(*target, reason);
}

void target_directory::RecordDeparture(const target_start& start,
                                       bool may_return) {
  const uint64_t number = ++departure_count_;
  departures_[start.id] = {start.started_ms, may_return, number};
  departure_order_.emplace_back(start.id, number);
  if (departure_order_.size() <= kMaxDepartures) return;
  const auto oldest = departures_.find(departure_order_.front().first);
  if (oldest != departures_.end() &&
      oldest->second.number == departure_order_.front().second) {
    departures_.erase(oldest);
  }
  departure_order_.pop_front();
}

size_t target_directory::SetEvacuated(const std::string& data_centre,
                                      bool evacuated, common::time_point now) {
  if (evacuated) {
    evacuated_data_centres_.insert(data_centre);
  } else {
    evacuated_data_centres_.erase(data_centre);
  }
  size_t count = 0;
  for (const auto& [id, target] : by_id_) {
    if (target->entry.data_centre != data_centre) continue;
    ++count;
    RemoveFromPool(target);
    AddToPool(target);
    if (!evacuated) target->returned_at = now;
  }
  return count;
}

bool target_directory::AllEvacuated(std::string_view service) const {
  const auto found = evacuated_pools_.find(service);
  return found != evacuated_pools_.end() && !found->second.empty() &&
         Pool(service).empty();
}

void target_directory::RemoveFromPool(
    const std::shared_ptr<fleet_target>& target) {
  std::erase(pools_[target->entry.service], target);
  std::erase(evacuated_pools_[target->entry.service], target);
}

void target_directory::AddToPool(const std::shared_ptr<fleet_target>& target) {
  target->evacuated =
      evacuated_data_centres_.contains(target->entry.data_centre);
  pool& members = target->evacuated ? evacuated_pools_[target->entry.service]
                                    : pools_[target->entry.service];
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
