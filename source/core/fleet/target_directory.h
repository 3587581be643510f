#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/clock.h"

namespace wisteriadale::core {

/// What a target says of itself.
struct target_entry {
  std::string id;  ///< changes with most starts of the target
  std::string service;
  std::string address;  ///< "ip:port"
  std::string data_centre;
  uint32_t slots = 1;
  bool draining = false;
  common::duration warm_up_remaining{
      0};                  ///< how much longer it is slow after its start
  int64_t started_ms = 0;  ///< wall time of its start; 0: not told
};

/// A target and what this process knows of it by its own calls.
struct fleet_target {
  target_entry entry;
  bool leaving = false;  ///< no new work; never lifted for the same start
  uint32_t in_flight = 0;
  double outstanding_tokens = 0;  ///< prompt tokens sent and not yet answered
  uint32_t consecutive_failures = 0;
  common::time_point ejected_until{};
  common::time_point overloaded_until{};  ///< it refused for load
  /// Own calls: time taken over time expected, smoothed; 1 is as expected.
  double slowness = 1.0;
  common::time_point slowness_updated{};

  bool Usable(common::time_point now) const {
    return !leaving && ejected_until <= now;
  }
};

/// Why a target gets no more work.
enum class leaving_reason {
  kDraining,        ///< its own entry says so
  kGone,            ///< its entry is gone
  kReplaced,        ///< another start of it is there
  kReportedByPeer,  ///< another gateway says so
};

/// @return the name in logs
std::string_view ToString(leaving_reason why);

/// The targets of all services, from their own entries. A target that left
/// stays known while calls to it are in progress.
class target_directory {
 public:
  using pool = std::vector<std::shared_ptr<fleet_target>>;

  /// Takes a full list. Targets that are not in it are leaving.
  void Replace(std::span<const target_entry> entries);
  /// Takes one new or changed entry.
  void Update(const target_entry& entry);
  /// An entry is gone.
  void Remove(std::string_view id);
  /// Another process says that a target is leaving.
  /// @return whether that is news
  bool MarkLeaving(std::string_view id);

  /// @return targets of a service, leaving ones left out
  const pool& Pool(std::string_view service) const;
  /// @return the target at an address, or null
  std::shared_ptr<fleet_target> AtAddress(std::string_view address) const;
  std::shared_ptr<fleet_target> Find(std::string_view id) const;
  /// @return whether more than half of a service's targets rest after failures
  bool MostEjected(std::string_view service, common::time_point now) const;

  using leaving_handler =
      std::function<void(const fleet_target&, leaving_reason)>;
  /// @param action called with each target that turns out to be leaving
  void SetLeavingHandler(leaving_handler action) {
    on_leaving_ = std::move(action);
  }

 private:
  /// @param target not the maps' own pointer: that ends here
  void Leave(const std::shared_ptr<fleet_target>& target, leaving_reason why);
  void AddToPool(const std::shared_ptr<fleet_target>& target);

  std::unordered_map<std::string, std::shared_ptr<fleet_target>> by_id_;
  std::map<std::string, pool, std::less<>> pools_;
  std::unordered_map<std::string, std::shared_ptr<fleet_target>> by_address_;
  /// Starts that are leaving, by id, with their time of birth.
  std::map<std::string, int64_t, std::less<>> left_;
  leaving_handler on_leaving_;
};

}  // namespace wisteriadale::core
