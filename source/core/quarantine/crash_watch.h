#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
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
  /// and its entry stays for several missed heartbeats, or for an outage of the
  /// store.
  common::duration watch_time = std::chrono::seconds(60);
  /// How long after an answer the store may first name a later start of the
  /// target, which then gave the answer.
  common::duration restart_notice = std::chrono::seconds(10);
  /// Bounds the memory used: some 300 bytes each.
  size_t max_watched = 2000;
};

/// Tells the counts of suspects which targets were lost while they ran a
/// request. An attempt that ended with its connection counts at once. One that
/// was dropped before its target answered, as its time was over or its caller
/// left, only counts if the target turns out to be lost: it leaves the fleet
/// without notice and without an answer to a later request. An answer by a
/// later start under the same id is none of the target.
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
  /// A target answered a request, and so outlived earlier attempts, unless it
  /// turns out to have been started since.
  /// @param sent_at when the request was sent
  void OnTargetAnswered(const std::string& target, common::time_point sent_at);
  /// A target answered a suspect completely.
  void OnAnswered(std::string_view digest);
  /// A target left the fleet.
  void OnTargetLeaving(const fleet_target& target);

  /// @return whether no attempt is watched
  bool empty() const { return size() == 0; }
  /// @return attempts that are watched, without those whose target has answered
  /// others since
  size_t size() const;
  /// @return whether an answer to a suspect may matter; cheaper than size
  bool has_attempts() const { return !watched_.empty(); }

 private:
  struct dropped_attempt {
    common::time_point at;
    crash_suspicion suspicion;
    /// When the target, or its next start, first answered a later request.
    std::optional<common::time_point> answered_at;
    int64_t answered_wall_ms = 0;  ///< the same, in Unix milliseconds
  };
  using attempts_by_digest =
      std::map<std::string, dropped_attempt, std::less<>>;

  bool Expired(const dropped_attempt& attempt) const;
  /// @return whether a target that vanished was lost to an attempt
  static bool CountsAsLost(const fleet_target& target,
                           const dropped_attempt& attempt);
  void EvictExpired();
  /// Makes room for an attempt.
  /// @return whether there is
  bool MakeRoom();
  /// Erases the attempts for which a condition holds.
  void EraseIf(const std::function<bool(const dropped_attempt&)>& condition);

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
