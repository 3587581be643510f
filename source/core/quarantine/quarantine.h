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

/// Status of a request's digest.
enum class quarantine_status {
  kClear,
  kSuspect,      ///< was in flight when a target crashed; runs exclusively
  kQuarantined,  ///< crashed a target in an exclusive run; is refused
};

/// Sends suspects and quarantine entries to a router's peers.
class quarantine_network {
 public:
  virtual ~quarantine_network() = default;
  /// Sends a message to all peers.
  virtual void BroadcastQuarantine(const quarantine_message& message) = 0;
  /// Sends a message to one peer.
  virtual void SendQuarantine(std::string_view router,
                              const quarantine_message& message) = 0;
};

/// Durations and bounds of the quarantine.
struct quarantine_options {
  common::duration quarantine_duration = std::chrono::hours(1);
  common::duration suspect_duration = std::chrono::minutes(2);
  common::duration retry_delay = std::chrono::seconds(1);  ///< of table calls
  uint32_t max_rows = 1000;                                ///< that are loaded
};

/// A quarantined digest, or the tombstone of one that an operator lifted.
struct quarantine_entry {
  std::string digest;
  int64_t expires_wall_us = 0;
  bool lifted = false;
};

/// Finds and refuses the requests that crash targets. Digests that were in
/// flight when a target crashed are suspects and run again exclusively; a crash
/// in such a run quarantines the digest, an end without a crash clears it.
/// Entries are stored as rows `quarantine/{digest}` and outlive routers.
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

  /// Loads the rows; retries until the platform answers.
  void Load();

  /// @return the status of a digest
  quarantine_status StatusOf(std::string_view digest);

  /// A target crashed.
  /// @param digests those in flight on it
  void OnCrash(std::span<const std::string> digests);
  /// A target crashed in an exclusive run of this digest.
  void OnExclusiveCrash(const std::string& digest);
  /// An exclusive run of a suspect ended without a crash.
  void OnExclusiveSuccess(const std::string& digest);

  /// A peer sent a suspect, a quarantine entry or its lifting.
  void OnMessage(const quarantine_message& message);
  /// A peer sent the hash of its entries: sends it ours if they differ.
  void OnPeerHash(std::string_view router, uint64_t hash);
  /// @return a hash of the entries in force and of those lifted
  uint64_t Hash();

  /// An operator lifts the quarantine of a digest.
  /// @return false when the digest is not quarantined
  bool Lift(const std::string& digest);
  /// @return the entries in force
  std::vector<quarantine_entry> List();

 private:
  void EvictExpired();
  bool Merge(const quarantine_entry& entry);
  void Quarantine(const std::string& digest);
  void Write(const std::string& digest);
  static quarantine_message MessageOf(const quarantine_entry& entry);

  quarantine_options options_;
  table& rows_;
  quarantine_network& network_;
  common::timer_service& timers_;
  common::clock& clock_;
  std::map<std::string, quarantine_entry, std::less<>> entries_;
  /// Digests and when they cease to be suspects.
  std::map<std::string, common::time_point, std::less<>> suspects_;
  std::set<std::string> writing_;  ///< digests whose row is being written
};

}  // namespace wisteriadale::core
