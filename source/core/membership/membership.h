#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "core/ports/vm_list.h"
#include "core/routing/target_table.h"

namespace wisteriadale::core {

/// Acts on changes of the members.
class member_observer {
 public:
  virtual ~member_observer() = default;
  /// A member appeared, or its address changed: dial it.
  virtual void OnMemberAddress(const vm_entry& member) = 0;
  /// The VM list says that a target is leaving, or that it is not any more.
  virtual void OnLeavingChanged(const vm_entry& member, bool leaving) = 0;
  /// The member is gone: forget it.
  virtual void OnMemberRemoved(const vm_entry& member) = 0;
};

struct membership_options {
  std::string own_name;
  /// How long a member must be absent from the list and unreachable.
  common::duration removal_delay = std::chrono::seconds(30);
  /// Most members removed in one removal window, as a share of all; one is
  /// always allowed.
  double max_removal_share = 0.1;
  common::duration removal_window = std::chrono::seconds(10);
};

/// Joins the lagging VM list with heartbeats. Either can say that a target is
/// leaving; neither alone can say that a member is gone.
class membership {
 public:
  membership(membership_options options, target_table& targets,
             common::clock& clock)
      : options_(std::move(options)), targets_(targets), clock_(clock) {}

  void SetObserver(member_observer* observer) { observer_ = observer; }

  /// A list was read. An empty one tells nothing.
  void ApplyVmList(const std::vector<vm_entry>& entries);
  /// A process that the list may not know yet told where it listens.
  void OnAnnouncement(const vm_entry& entry);
  /// A channel to the member's process opened and its name was checked.
  void OnConnected(std::string_view name, uint64_t incarnation);
  void OnDisconnected(std::string_view name);
  void OnHeartbeat(std::string_view name, const load_report& load);

  /// An operator drains a target, or ends the drain.
  /// @return false when no such target is known
  bool SetDrained(std::string_view target, bool drained);
  /// The data centres that the preset in force drains.
  void SetDrainedDataCentres(std::vector<std::string> names);

  /// Removes members that are gone. Call about once a second.
  void Sweep();

  bool IsOperatorDrained(std::string_view target) const;
  /// @return the member, or null
  const vm_entry* Find(std::string_view name) const;
  size_t size() const { return members_.size(); }

 private:
  struct member {
    vm_entry vm;
    bool listed = false;
    bool connected = false;
    bool operator_drained = false;
    common::time_point absent_since;
    common::time_point unreachable_since;
  };

  void Take(const vm_entry& entry, bool listed);
  void ShowDrain(const member& entry);
  bool IsGone(const member& entry) const;
  void Remove(const std::string& name);

  membership_options options_;
  target_table& targets_;
  common::clock& clock_;
  member_observer* observer_ = nullptr;
  std::map<std::string, member, std::less<>> members_;
  std::vector<std::string> drained_data_centres_;
  std::optional<common::time_point> window_start_;
  size_t removed_in_window_ = 0;
};

}  // namespace wisteriadale::core
