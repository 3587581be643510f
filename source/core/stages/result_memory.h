#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>

#include "common/clock.h"
#include "core/routes/route_table.h"

namespace wisteriadale::core {

/// How the pieces of a call used the memory of its target.
struct call_memory_use {
  uint64_t bytes = 0;   ///< of the results of all pieces, as announced
  bool denied = false;  ///< for at least one piece there was no memory
};

/// Keeps account of the results that occupy the memory of a service's targets,
/// as far as they are known here. Sizes are approximate: a target without
/// memory for a piece is trusted with less for a while.
/// What an owner of the queue before has left, as when it was killed, is not
/// known here and says nothing about sizes.
class result_memory {
 public:
  /// Sets what the operator says of the targets.
  void SetSpec(const batch_spec& spec) { spec_ = spec; }

  /// @return bytes of results that a target can still hold
  uint64_t Left(const std::string& target) const;

  /// Reserves memory for the pieces of a call.
  /// @param bytes of all their results
  void OnCallStart(const std::string& target, uint64_t bytes,
                   common::time_point now);
  /// Returns what was reserved for a call that had no effect, or whose effect
  /// is not known.
  void OnCallLost(const std::string& target, uint64_t bytes);
  /// Returns what was reserved, and learns from what the target had memory for.
  void OnCallEnd(const std::string& target, const call_memory_use& use,
                 common::time_point now);
  /// Records a result, which occupies memory until it is freed or expires.
  /// @param since start of its call, from which on it occupies memory
  /// @param now   end of its call
  void Add(const std::string& handle, const std::string& target, uint64_t bytes,
           common::time_point since, common::time_point now);
  /// Returns the memory of results that their targets have released.
  void Free(std::span<const std::string> handles, common::time_point now);
  /// @param target id of a target
  /// @return results that the target's memory has room for in a second, by the
  /// time that results occupied it lately; infinite if none was observed
  double ResultsPerSecond(const std::string& target) const;
  /// Forgets results that have expired at their targets.
  void DropExpired(common::time_point now);
  /// @return results that are tracked
  size_t size() const { return results_.size(); }

 private:
  /// A result that occupies memory of its target.
  struct stored_result {
    std::string target;
    uint64_t bytes = 0;
    common::time_point since;
    common::time_point expires;
  };
  /// What is known of a target.
  struct target_memory {
    uint64_t reserved = 0;  ///< bytes of results and of pieces in calls
    /// Part of its memory that is used: sizes of results are approximate.
    double trusted_share = 1.0;
  };

  void Return(const std::string& target, uint64_t bytes);
  /// @return bytes that a target can be trusted with
  double Trusted(const std::string& target) const;
  /// Records for how long a result occupied memory.
  void RecordUse(const stored_result& result, common::time_point until);

  batch_spec spec_;
  std::unordered_map<std::string, target_memory> targets_;  ///< by id
  std::unordered_map<std::string, stored_result> results_;  ///< by handle
  /// Smoothed product of a result's bytes and the seconds for which it occupied
  /// memory; 0: none was observed.
  double byte_seconds_ = 0;
  /// Since when this is the owner of the queue, as its calls show. Results of
  /// an owner before may have been at the targets then.
  common::time_point owner_since_{};
  std::optional<common::time_point> last_call_;
};

}  // namespace wisteriadale::core
