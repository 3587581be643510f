#include "core/membership/membership.h"

#include <algorithm>
#include <set>

#include "common/invariant.h"
#include "common/log.h"
#include "common/metrics.h"

namespace wisteriadale::core {
namespace {

using common::log_channel;
using common::log_level;

}  // namespace

void membership::ApplyVmList(const std::vector<vm_entry>& entries) {
  if (entries.empty()) {
    common::Metrics().Count("wisteria_vm_list_empty_total");
    return;
  }
  std::set<std::string, std::less<>> listed;
  for (const vm_entry& entry : entries) {
    if (entry.name == options_.own_name) continue;
    listed.insert(entry.name);
    Upsert(entry, true);
  }
  for (auto& [name, entry] : members_) {
    if (!entry.listed || listed.contains(name)) continue;
    entry.listed = false;
    entry.absent_since = clock_.Now();
  }
}

void membership::OnAnnouncement(const vm_entry& entry) {
  const auto found = members_.find(entry.name);
  // The VM list takes precedence over what a process announces.
  if (found != members_.end() && found->second.listed) return;
  if (entry.name == options_.own_name) return;
  Upsert(entry, false);
}

void membership::Upsert(const vm_entry& entry, bool listed) {
  const auto [found, added] = members_.try_emplace(entry.name);
  member& known = found->second;
  const bool moved =
      known.vm.address != entry.address || known.vm.port != entry.port;
  const bool was_leaving = known.vm.state == vm_state::kLeaving;
  known.vm = entry;
  known.listed = listed;
  if (added) known.unreachable_since = clock_.Now();
  if (added || !listed) known.absent_since = clock_.Now();
  const bool leaving = entry.state == vm_state::kLeaving;
  if (entry.role == vm_role::kTarget) {
    target_view* view =
        targets_.FindOrCreate(entry.name, entry.pool, entry.data_centre);
    view->listed_leaving = leaving;
    PublishDrain(known);
  }
  if (observer_ == nullptr) return;
  if (added || moved) observer_->OnMemberAddress(entry);
  if (leaving != was_leaving) observer_->OnLeavingChanged(entry, leaving);
}

void membership::OnConnected(std::string_view name, uint64_t incarnation) {
  const auto found = members_.find(name);
  if (found == members_.end()) return;
  found->second.connected = true;
  target_view* view = targets_.Find(name);
  if (view == nullptr) return;
  view->connected = true;
  view->incarnation = incarnation;
  view->load.accepting = true;
}

void membership::OnDisconnected(std::string_view name) {
  const auto found = members_.find(name);
  if (found != members_.end() && found->second.connected) {
    found->second.connected = false;
    found->second.unreachable_since = clock_.Now();
  }
  target_view* view = targets_.Find(name);
  if (view != nullptr) view->connected = false;
}

void membership::OnHeartbeat(std::string_view name, const load_report& load) {
  target_view* view = targets_.Find(name);
  if (view != nullptr) view->ApplyLoadReport(load);
}

bool membership::SetDrained(std::string_view target, bool drained) {
  const auto found = members_.find(target);
  if (found == members_.end()) return false;
  found->second.operator_drained = drained;
  PublishDrain(found->second);
  return true;
}

void membership::SetDrainedDataCentres(std::vector<std::string> names) {
  drained_data_centres_ = std::move(names);
  for (const auto& [name, entry] : members_) PublishDrain(entry);
}

void membership::PublishDrain(const member& entry) {
  target_view* view = targets_.Find(entry.vm.name);
  if (view == nullptr) return;
  const bool by_preset =
      std::find(drained_data_centres_.begin(), drained_data_centres_.end(),
                entry.vm.data_centre) != drained_data_centres_.end();
  view->drained = entry.operator_drained || by_preset;
}

bool membership::IsRemovable(const member& entry) const {
  if (entry.listed || entry.connected) return false;
  const common::time_point now = clock_.Now();
  return now - entry.absent_since >= options_.removal_delay &&
         now - entry.unreachable_since >= options_.removal_delay;
}

void membership::Sweep() {
  const common::time_point now = clock_.Now();
  if (!window_start_ || now - *window_start_ >= options_.removal_window) {
    window_start_ = now;
    removed_in_window_ = 0;
  }
  const size_t cap = std::max<size_t>(
      1, static_cast<size_t>(static_cast<double>(members_.size()) *
                             options_.max_removal_share));
  std::vector<std::string> removable;
  for (const auto& [name, entry] : members_) {
    if (removed_in_window_ + removable.size() >= cap) break;
    if (IsRemovable(entry)) removable.push_back(name);
  }
  removed_in_window_ += removable.size();
  for (const std::string& name : removable) Remove(name);
}

void membership::Remove(const std::string& name) {
  const auto found = members_.find(name);
  const member removed = found->second;
  common::CheckInvariant(!removed.connected && !removed.listed,
                         "only_absent_members_are_removed", name);
  members_.erase(found);
  common::Metrics().Count("wisteria_members_removed_total");
  common::Log(log_channel::kMembership, log_level::kInfo,
              name + " removed: absent from the VM list and unreachable");
  if (observer_ != nullptr) observer_->OnMemberRemoved(removed.vm);
  if (removed.vm.role == vm_role::kTarget) targets_.Erase(name);
}

bool membership::IsOperatorDrained(std::string_view target) const {
  const auto found = members_.find(target);
  return found != members_.end() && found->second.operator_drained;
}

const vm_entry* membership::Find(std::string_view name) const {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second.vm;
}

}  // namespace wisteriadale::core
