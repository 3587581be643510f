#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "core/messages.h"
#include "core/ports/table.h"

namespace wisteriadale::core {

/// What is known of a request's digest.
enum class quarantine_status {
  kClear,
  kSuspect,      ///< was in flight on a target that crashed: runs alone
  kQuarantined,  ///< crashed a target alone: is refused
};

/// Brings suspicions and convictions to the peers of a router.
class quarantine_network {
 public:
  virtual ~quarantine_network() = default;
  virtual void BroadcastQuarantine(const quarantine_message& message) = 0;
  virtual void SendQuarantine(std::string_view router,
                              const quarantine_message& message) = 0;
};

struct quarantine_options {
  common::duration quarantine_duration = std::chrono::hours(1);
  common::duration suspect_duration = std::chrono::minutes(2);
  common::duration write_retry = std::chrono::seconds(1);
  uint32_t max_rows = 1000;
};

/// A conviction, or the tombstone of one that an operator lifted.
struct quarantine_entry {
  std::string digest;
  int64_t expires_wall_us = 0;
  bool lifted = false;
};

/// Finds the requests that crash targets. Digests that were in flight when a
/// target crashed are suspects and run again alone; a crash alone convicts, an
/// end without a crash clears. Convictions are rows `quarantine/{digest}` and
/// outlive routers.
class quarantine {
 public:
  quarantine(quarantine_options options, table& rows,
             quarantine_network& network, common::timer_service& timers,
             common::clock& clock)
      : options_(options),
        rows_(rows),
        network_(network),
        timers_(timers),
        clock_(clock) {}

  /// Reads the rows, and again until the platform answers.
  void Load();

  quarantine_status StatusOf(std::string_view digest);

  /// A target crashed.
  /// @param digests what was in flight on it
  void OnCrash(std::span<const std::string> digests);
  /// A target crashed while it ran nothing but this digest.
  void OnExclusiveCrash(const std::string& digest);
  /// A suspect ran alone and the target survived it.
  void OnExclusiveSuccess(const std::string& digest);

  /// A peer told a suspicion, a conviction or that one was lifted.
  void OnMessage(const quarantine_message& message);
  /// A peer told the hash of its convictions: what differs is sent.
  void OnPeerHash(std::string_view router, uint64_t hash);
  /// @return hash of the convictions in force and of those lifted
  uint64_t Hash();

  /// An operator lifts a conviction.
  /// @return false when there is none
  bool Lift(const std::string& digest);
  /// @return convictions in force
  std::vector<quarantine_entry> List();

 private:
  void Expire();
  bool Merge(const quarantine_entry& entry);
  void Convict(const std::string& digest);
  void Write(const std::string& digest);
  static quarantine_message MessageOf(const quarantine_entry& entry);

  quarantine_options options_;
  table& rows_;
  quarantine_network& network_;
  common::timer_service& timers_;
  common::clock& clock_;
  std::map<std::string, quarantine_entry, std::less<>> convictions_;
  std::map<std::string, common::time_point, std::less<>> suspects_;
  std::set<std::string> writing_;
};

}  // namespace wisteriadale::core
