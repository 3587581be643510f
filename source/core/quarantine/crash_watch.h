#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "core/fleet/target_directory.h"
#include "core/quarantine/crash_suspects.h"

namespace wisteriadale::core {

/// What the loss of a target may be due to.
struct crash_suspicion {
  std::string request_id;
  std::string digest;              ///< of the request; empty: not known
  std::vector<std::string> parts;  ///< digests of parts of its prompt
  uint32_t part_weight = 0;        ///< see crash_suspects::OnLost
};

struct crash_watch_options {
  /// How long a target is watched. It is silent for some time before it ends,
  /// and its entry stays for several missed heartbeats.
  common::duration watch_time = std::chrono::seconds(10);
  /// Bounds the memory used: some 300 bytes each.
  size_t max_watched = 2000;
};

/// Tells the counts of suspects which targets were lost while they ran a
/// request. An attempt that ended with its connection counts at once. One that
/// was dropped before its target answered, as its time was over or its caller
/// left, only counts if the target turns out to be lost: it leaves the fleet
/// without notice and without an answer to a later request.
class crash_watch {
 public:
  /// @param requests counts of requests
  /// @param parts    counts of parts of prompts
  crash_watch(const crash_watch_options& options, crash_suspects& requests,
              crash_suspects& parts, const target_directory& targets,
              common::clock& clock)
      : options_(options),
        requests_(requests),
        parts_(parts),
        targets_(targets),
        clock_(clock) {}

  /// An attempt ended with its connection.
  void OnLost(const target_entry& target, const crash_suspicion& suspicion);
  /// An attempt was dropped before its target answered.
  void OnDropped(const fleet_target& target, const crash_suspicion& suspicion);
  /// A target answered a request, and so outlived earlier attempts.
  /// @param sent_at when the request was sent
  void OnTargetAnswered(const std::string& target, common::time_point sent_at);
  /// A target answered a suspect completely.
  void OnAnswered(std::string_view digest);
  /// A target left the fleet.
  void OnTargetLeaving(const fleet_target& target);

  /// @return whether no attempt is watched
  bool empty() const { return watched_.empty(); }
  /// @return attempts that are watched
  size_t size() const;

 private:
  struct dropped_attempt {
    common::time_point at;
    crash_suspicion suspicion;
  };
  using attempts_by_digest =
      std::map<std::string, dropped_attempt, std::less<>>;

  bool Expired(const dropped_attempt& attempt) const;
  void EvictExpired();

  crash_watch_options options_;
  crash_suspects& requests_;
  crash_suspects& parts_;
  const target_directory& targets_;
  common::clock& clock_;
  /// By id of the target.
  std::map<std::string, attempts_by_digest, std::less<>> watched_;
  common::time_point last_eviction_{};
};

}  // namespace wisteriadale::core
