#include "core/quarantine/quarantine.h"

#include <nlohmann/json.hpp>

#include "common/digest.h"
#include "common/log.h"
#include "common/metrics.h"

namespace wisteriadale::core {
namespace {

using nlohmann::json;

constexpr char kPrefix[] = "quarantine/";

std::string Encode(const quarantine_entry& entry) {
  return json{{"digest", entry.digest},
              {"expires_wall_us", entry.expires_wall_us},
              {"lifted", entry.lifted}}
      .dump();
}

quarantine_entry Decode(std::string_view text) {
  quarantine_entry entry;
  const json from = json::parse(text, nullptr, false);
  if (!from.is_object()) return entry;
  entry.digest = from.value("digest", "");
  entry.expires_wall_us = from.value("expires_wall_us", int64_t{0});
  entry.lifted = from.value("lifted", false);
  return entry;
}

/// @return whether entry a replaces entry b. A later entry replaces an earlier
///         one, and a lift the entry that it lifts, in whatever order they
///         arrive.
bool Replaces(const quarantine_entry& a, const quarantine_entry& b) {
  if (a.expires_wall_us != b.expires_wall_us) {
    return a.expires_wall_us > b.expires_wall_us;
  }
  return a.lifted && !b.lifted;
}

}  // namespace

void quarantine::Load() {
  rows_.List(kPrefix, options_.max_rows, table_priority::kOther,
             [this](const table_list_result& answer) {
               if (answer.status != table_status::kOk) {
                 timers_.Schedule(options_.retry_delay, [this] { Load(); });
                 return;
               }
               for (const table_row& row : answer.rows) {
                 Merge(Decode(row.value));
               }
             });
}

quarantine_status quarantine::StatusOf(std::string_view digest) {
  const auto quarantined = entries_.find(digest);
  if (quarantined != entries_.end() && !quarantined->second.lifted &&
      quarantined->second.expires_wall_us > clock_.WallMicros()) {
    return quarantine_status::kQuarantined;
  }
  const auto suspect = suspects_.find(digest);
  if (suspect == suspects_.end()) return quarantine_status::kClear;
  if (clock_.Now() < suspect->second) return quarantine_status::kSuspect;
  suspects_.erase(suspect);
  return quarantine_status::kClear;
}

void quarantine::OnCrash(std::span<const std::string> digests) {
  for (const std::string& digest : digests) {
    if (StatusOf(digest) == quarantine_status::kClear) {
      quarantine_message message;
      message.digest = digest;
      message.suspect = true;
      network_.BroadcastQuarantine(message);
    }
    suspects_[digest] = clock_.Now() + options_.suspect_duration;
  }
}

void quarantine::OnExclusiveCrash(const std::string& digest) {
  if (StatusOf(digest) == quarantine_status::kQuarantined) return;
  common::Metrics().Count("wisteria_convictions_total");
  common::Log(
      common::log_channel::kCore, common::log_level::kWarning,
      "request digest " + digest +
          " crashed a target in an exclusive run and is refused from now on");
  Quarantine(digest);
}

void quarantine::Quarantine(const std::string& digest) {
  quarantine_entry entry;
  entry.digest = digest;
  entry.expires_wall_us =
      clock_.WallMicros() + options_.quarantine_duration.count();
  suspects_.erase(digest);
  Merge(entry);
  network_.BroadcastQuarantine(MessageOf(entry));
  Write(digest);
}

void quarantine::OnExclusiveSuccess(const std::string& digest) {
  const auto suspect = suspects_.find(digest);
  if (suspect == suspects_.end()) return;
  suspects_.erase(suspect);
  common::Metrics().Count("wisteria_suspects_cleared_total");
}

void quarantine::OnMessage(const quarantine_message& message) {
  if (message.suspect) {
    if (StatusOf(message.digest) != quarantine_status::kClear) return;
    suspects_[message.digest] = clock_.Now() + options_.suspect_duration;
    return;
  }
  quarantine_entry entry;
  entry.digest = message.digest;
  entry.expires_wall_us = message.expires_wall_us;
  entry.lifted = message.lifted;
  Merge(entry);
}

bool quarantine::Merge(const quarantine_entry& entry) {
  if (entry.digest.empty()) return false;
  if (entry.expires_wall_us <= clock_.WallMicros()) return false;
  const auto [known, added] = entries_.try_emplace(entry.digest, entry);
  if (added) return true;
  if (!Replaces(entry, known->second)) return false;
  known->second = entry;
  return true;
}

void quarantine::OnPeerHash(std::string_view router, uint64_t hash) {
  if (hash == Hash()) return;
  for (const auto& [digest, entry] : entries_) {
    network_.SendQuarantine(router, MessageOf(entry));
  }
}

uint64_t quarantine::Hash() {
  EvictExpired();
  uint64_t hash = 0;
  for (const auto& [digest, entry] : entries_) {
    hash ^= common::Hash64(digest,
                           static_cast<uint64_t>(entry.expires_wall_us) * 2 +
                               (entry.lifted ? 1 : 0));
  }
  return hash;
}

void quarantine::EvictExpired() {
  const int64_t now = clock_.WallMicros();
  std::erase_if(entries_, [now](const auto& entry) {
    return entry.second.expires_wall_us <= now;
  });
}

bool quarantine::Lift(const std::string& digest) {
  if (StatusOf(digest) != quarantine_status::kQuarantined) return false;
  quarantine_entry& entry = entries_.find(digest)->second;
  entry.lifted = true;
  network_.BroadcastQuarantine(MessageOf(entry));
  Write(digest);
  return true;
}

std::vector<quarantine_entry> quarantine::List() {
  EvictExpired();
  std::vector<quarantine_entry> in_force;
  for (const auto& [digest, entry] : entries_) {
    if (!entry.lifted) in_force.push_back(entry);
  }
  return in_force;
}

void quarantine::Write(const std::string& digest) {
  if (!writing_.insert(digest).second) return;
  const std::string key = kPrefix + digest;
  rows_.Read(key, table_priority::kOther,
             [this, digest, key](const table_result& answer) {
               const auto known = entries_.find(digest);
               if (known == entries_.end()) {
                 writing_.erase(digest);
                 return;
               }
               const auto again = [this, digest](const table_result& written) {
                 writing_.erase(digest);
                 const auto entry = entries_.find(digest);
                 const bool same = written.status == table_status::kOk &&
                                   entry != entries_.end() &&
                                   written.row.value == Encode(entry->second);
                 if (same) return;
                 timers_.Schedule(options_.retry_delay,
                                  [this, digest] { Write(digest); });
               };
               if (answer.status != table_status::kOk) {
                 again(answer);
                 return;
               }
               // What another router wrote meanwhile may replace ours.
               Merge(Decode(answer.row.value));
               const std::string value = Encode(known->second);
               if (answer.row.value == value) {
                 again(answer);
                 return;
               }
               rows_.Write(key, answer.row.version, value,
                           table_priority::kOther, again);
             });
}

quarantine_message quarantine::MessageOf(const quarantine_entry& entry) {
  quarantine_message message;
  message.digest = entry.digest;
  message.expires_wall_us = entry.expires_wall_us;
  message.lifted = entry.lifted;
  return message;
}

}  // namespace wisteriadale::core
