#include "core/stages/result_memory.h"

#include <algorithm>
#include <limits>

namespace wisteriadale::core {
namespace {

// Share of a target's memory that is used. A call that is denied memory reduces
// it and ten calls restore it, since sizes of results are approximate.
constexpr double kMinTrustedShare = 0.5;
constexpr double kTrustedShareDecrease = 0.9;
constexpr double kTrustedShareIncrease = 0.01;
// Weight of the newest result in the smoothed use of memory: it averages over
// some fifty results, which a busy stage makes in less than a second.
constexpr double kUseWeight = 0.02;
// A queue without a call for so long may have had another owner meanwhile:
// calls take a few hundred milliseconds.
constexpr common::duration kIdleTime = std::chrono::seconds(1);
// What is known of a target is kept for this long after its latest call: each
// start of a target has a new id.
constexpr common::duration kTargetRetention = std::chrono::minutes(1);

}  // namespace

uint64_t result_memory::Left(const std::string& target) const {
  const auto found = targets_.find(target);
  const uint64_t reserved =
      found == targets_.end() ? 0 : found->second.reserved;
  const uint64_t capacity = static_cast<uint64_t>(Trusted(target));
  return capacity > reserved ? capacity - reserved : 0;
}

double result_memory::Trusted(const std::string& target) const {
  const auto found = targets_.find(target);
  const double share =
      found == targets_.end() ? 1.0 : found->second.trusted_share;
  return static_cast<double>(spec_.result_capacity_bytes) * share;
}

double result_memory::ResultsPerSecond(const std::string& target) const {
  if (byte_seconds_ <= 0) return std::numeric_limits<double>::infinity();
  return Trusted(target) / byte_seconds_;
}

void result_memory::RecordUse(const stored_result& result,
                              common::time_point until) {
  const double use =
      static_cast<double>(result.bytes) *
      std::chrono::duration<double>(until - result.since).count();
  byte_seconds_ = byte_seconds_ <= 0
                      ? use
                      : byte_seconds_ + kUseWeight * (use - byte_seconds_);
}

void result_memory::OnCallStart(const std::string& target, uint64_t bytes,
                                common::time_point now) {
  // Another owner may have had the queue while this one was idle.
  if (!last_call_ || now - *last_call_ > kIdleTime) owner_since_ = now;
  last_call_ = now;
  target_memory& memory = targets_[target];
  memory.reserved += bytes;
  memory.last_call = now;
}

void result_memory::OnCallLost(const std::string& target, uint64_t bytes) {
  Return(target, bytes);
}

void result_memory::OnCallEnd(const std::string& target,
                              const call_memory_use& use,
                              common::time_point now) {
  Return(target, use.bytes);
  target_memory& memory = targets_[target];
  if (!use.denied) {
    memory.trusted_share =
        std::min(1.0, memory.trusted_share + kTrustedShareIncrease);
  } else if (now - owner_since_ > spec_.result_lifetime) {
    memory.trusted_share = std::max(
        kMinTrustedShare, memory.trusted_share * kTrustedShareDecrease);
  }
}

void result_memory::Add(const std::string& handle, const std::string& target,
                        uint64_t bytes, common::time_point since,
                        common::time_point now) {
  results_[handle] = {target, bytes, since, now + spec_.result_lifetime};
  targets_[target].reserved += bytes;
}

void result_memory::Free(std::span<const std::string> handles,
                         common::time_point now) {
  for (const std::string& handle : handles) {
    const auto found = results_.find(handle);
    if (found == results_.end()) continue;
    RecordUse(found->second, now);
    Return(found->second.target, found->second.bytes);
    results_.erase(found);
  }
}

void result_memory::DropExpired(common::time_point now) {
  for (auto entry = results_.begin(); entry != results_.end();) {
    if (entry->second.expires > now) {
      ++entry;
      continue;
    }
    RecordUse(entry->second, now);
    Return(entry->second.target, entry->second.bytes);
    entry = results_.erase(entry);
  }
  std::erase_if(targets_, [now](const auto& each) {
    const target_memory& memory = each.second;
    return memory.reserved == 0 && now - memory.last_call > kTargetRetention;
  });
}

void result_memory::Return(const std::string& target, uint64_t bytes) {
  uint64_t& reserved = targets_[target].reserved;
  reserved -= std::min(reserved, bytes);
}

}  // namespace wisteriadale::core
