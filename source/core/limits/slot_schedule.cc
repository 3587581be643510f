#include "core/limits/slot_schedule.h"

#include <algorithm>

namespace wisteriadale::core {
namespace {

constexpr size_t kMaxEntries = 4096;
// Larger values would overflow a duration.
constexpr double kMaxIntervalSeconds = 3600;

}  // namespace

slot_schedule::entry& slot_schedule::EntryOf(std::string_view target) {
  const common::time_point now = clock_.Now();
  const auto found = entries_.find(target);
  if (found != entries_.end()) {
    found->second.last_request = now;
    return found->second;
  }
  if (entries_.size() >= kMaxEntries) {
    entries_.erase(std::min_element(entries_.begin(), entries_.end(),
                                    [](const auto& left, const auto& right) {
                                      return left.second.last_request <
                                             right.second.last_request;
                                    }));
  }
  return entries_.emplace(std::string(target), entry{now, now}).first->second;
}

slot_reservation slot_schedule::Reserve(std::string_view target,
                                        double per_second,
                                        common::duration max_delay) {
  const common::time_point now = clock_.Now();
  entry& known = EntryOf(target);
  const common::time_point slot = std::max(
      now, known.last_slot + common::FromSeconds(std::min(
                                 1 / per_second, kMaxIntervalSeconds)));
  if (slot - now > max_delay) return {false, slot - now};
  known.last_slot = slot;
  return {true, slot - now};
}

void slot_schedule::NoteReserved(std::string_view target,
                                 common::time_point until) {
  entry& known = EntryOf(target);
  known.last_slot = std::max(known.last_slot, until);
}

void slot_schedule::Forget(std::string_view target) {
  const auto found = entries_.find(target);
  if (found != entries_.end()) entries_.erase(found);
}

}  // namespace wisteriadale::core
