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

/// Observer of membership changes.
class member_observer {
 public:
  virtual ~member_observer() = default;
  /// A member appeared or its address changed; it can be dialled.
  virtual void OnMemberAddress(const vm_entry& member) = 0;
  /// The VM list marks a member as leaving, or no longer does.
  virtual void OnLeavingChanged(const vm_entry& member, bool leaving) = 0;
  /// The member was removed; its connections can be closed.
  virtual void OnMemberRemoved(const vm_entry& member) = 0;
};

/// When members are removed.
struct membership_options {
  std::string own_name;
  /// How long a member must be absent from the list and unreachable before it
  /// is removed.
  common::duration removal_delay = std::chrono::seconds(30);
  /// Largest share of the members that is removed within one removal window;
  /// one removal is always allowed.
  double max_removal_share = 0.1;
  common::duration removal_window = std::chrono::seconds(10);
};

/// Combines the platform's VM list, which lags, with the state of live links.
/// Either source can mark a target as leaving. A member is removed only when it
/// is absent from the list and also unreachable.
class membership {
 public:
  membership(membership_options options, target_table& targets,
             common::clock& clock)
      : options_(std::move(options)), targets_(targets), clock_(clock) {}

  void SetObserver(member_observer* observer) { observer_ = observer; }

  /// Applies a list that was read. An empty list is ignored, as it
  /// carries no information.
  void ApplyVmList(const std::vector<vm_entry>& entries);
  /// A process that may not be listed yet announced its address. Ignored for
  /// members that are listed.
  void OnAnnouncement(const vm_entry& entry);
  /// A channel to the member's process opened and its name was verified.
  void OnConnected(std::string_view name, uint64_t incarnation);
  void OnDisconnected(std::string_view name);
  /// The target's agent reported its load.
  void OnHeartbeat(std::string_view name, const load_report& load);

  /// Begins or ends an operator's drain of a target.
  /// @return false when no such target is known
  bool SetDrained(std::string_view target, bool drained);
  /// Sets the data centres that the active preset drains.
  void SetDrainedDataCentres(std::vector<std::string> names);

  /// Removes members that are absent and unreachable, up to the cap of the
  /// current removal window. Call about once a second.
  void Sweep();

  bool IsOperatorDrained(std::string_view target) const;
  /// @return the member's entry, or null when there is none
  const vm_entry* Find(std::string_view name) const;
  size_t size() const { return members_.size(); }

 private:
  struct member {
    vm_entry vm;
    bool listed = false;  ///< in the latest VM list
    bool connected = false;
    bool operator_drained = false;
    common::time_point absent_since;
    common::time_point unreachable_since;
  };

  void Upsert(const vm_entry& entry, bool listed);
  /// Updates whether the target counts as drained in the target table.
  void PublishDrain(const member& entry);
  bool IsRemovable(const member& entry) const;
  void Remove(const std::string& name);

  membership_options options_;
  target_table& targets_;
  common::clock& clock_;
  member_observer* observer_ = nullptr;
  std::map<std::string, member, std::less<>> members_;
  std::vector<std::string> drained_data_centres_;
  std::optional<common::time_point> window_start_;  ///< of the removal window
  size_t removed_in_window_ = 0;
};

}  // namespace wisteriadale::core
