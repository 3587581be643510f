#include "core/overload/memory_account.h"

#include <algorithm>
#include <array>
#include <string_view>

#include "common/event_log.h"
#include "common/metrics.h"

namespace wisteriadale::core {
namespace {

constexpr double kBytesPerMegabyte = 1e6;
// What a process needs for itself: code, routes, links, logs.
constexpr double kOwnMegabytes = 48;
// Less is not left to callers, however small the VM.
constexpr double kMinBesideOwnMegabytes = 24;
// Part of the rest that is held for callers. The other part is for the bytes
// that the allocator has not reused yet, and for those that sockets hold.
constexpr double kHeldShare = 0.5;
// Three bodies of the usual limit with their copies for targets.
constexpr uint64_t kMinBudget = 24'000'000;

// Responses grow in turn up to so many times the budget: requests in progress,
// which do not give way, may fill it by themselves, and end only so.
constexpr double kTurnShare = 1.25;
// A holder that has not asked for so long does not use its turn.
constexpr common::duration kTurnPause = std::chrono::milliseconds(100);
// So long after one was refused, others are taken to wait for room.
constexpr common::duration kRefusalMemory = std::chrono::seconds(1);

constexpr std::array<std::string_view, 4> kStepNames = {
    "stalled_request", "stalled_response", "newest_request", "newest_message"};

}  // namespace

uint64_t BytesBesideOwn(double memory_mb) {
  const double megabytes =
      std::max(kMinBesideOwnMegabytes, memory_mb - kOwnMegabytes);
  return static_cast<uint64_t>(megabytes * kBytesPerMegabyte);
}

memory_account_options MakeMemoryAccountOptions(double memory_mb) {
  memory_account_options options;
  options.budget = std::max(
      kMinBudget,
      static_cast<uint64_t>(kHeldShare *
                            static_cast<double>(BytesBesideOwn(memory_mb))));
  return options;
}

void memory_account::Set(common::byte_holder& holder,
                         const common::holding& held) {
  const auto found = holders_.find(&holder);
  if (found != holders_.end()) Subtract(found->second.held);
  Add(held);
  if (held.bytes > 0) {
    holders_.insert_or_assign(&holder, entry{&holder, held});
  } else if (found != holders_.end()) {
    holders_.erase(found);
  }
  if (held.bytes == 0 && turn_.holder == &holder) turn_ = {};
}

void memory_account::Add(const common::holding& held) {
  held_ += held.bytes;
  held_for_.at(static_cast<size_t>(held.what)) += held.bytes;
}

void memory_account::Subtract(const common::holding& held) {
  held_ -= held.bytes;
  held_for_.at(static_cast<size_t>(held.what)) -= held.bytes;
}

bool memory_account::MayGrow(const common::byte_holder& holder) {
  if (!Pressed()) return true;
  const common::time_point now = clock_.Now();
  const auto found = holders_.find(&holder);
  if (found != holders_.end() && IsStalled(found->second.held, now)) {
    return false;
  }
  if (static_cast<double>(held_) >
      kTurnShare * static_cast<double>(options_.budget)) {
    refused_at_ = now;
    return false;
  }
  if (turn_.holder == nullptr || turn_.holder == &holder ||
      now - turn_.asked_at > kTurnPause) {
    turn_ = {&holder, now};
    return true;
  }
  refused_at_ = now;
  return false;
}

bool memory_account::OthersWait(common::time_point now) const {
  return refused_at_ != common::time_point{} &&
         now - refused_at_ <= kRefusalMemory;
}

uint64_t memory_account::LimitOf(step at, common::time_point now) const {
  const bool others_wait = OthersWait(now);
  return others_wait && at < step::kNewestRequest ? options_.budget / 2
                                                  : options_.budget;
}

memory_account::step memory_account::StepOf(const common::holding& held,
                                            common::time_point now) const {
  const common::duration silent = now - held.progress_at;
  const bool message = held.what == common::held_for::kMessage;
  if (message || held.what == common::held_for::kIncoming) {
    if (silent >= options_.body_stall) return step::kStalledRequest;
    if (held.bytes < options_.small_bytes) return step::kNone;
    return message ? step::kNewestMessage : step::kNewestRequest;
  }
  const common::duration stall =
      OthersWait(now) ? options_.body_stall : options_.response_stall;
  if (held.what == common::held_for::kResponse && silent >= stall) {
    return step::kStalledResponse;
  }
  return step::kNone;
}

common::byte_holder* memory_account::Next(common::time_point now,
                                          step* why) const {
  common::byte_holder* chosen = nullptr;
  *why = step::kNone;
  common::time_point chosen_time;
  for (const auto& [key, each] : holders_) {
    const common::holding& held = each.held;
    const step at = StepOf(held, now);
    if (at == step::kNone || at > *why) continue;
    const bool newest = at >= step::kNewestRequest;
    const common::time_point time = newest ? held.since : held.progress_at;
    const bool earlier_step = at < *why;
    if (!earlier_step && (newest ? time <= chosen_time : time >= chosen_time)) {
      continue;
    }
    chosen = each.holder;
    chosen_time = time;
    *why = at;
  }
  return chosen;
}

void memory_account::Report(const common::holding& held, step why,
                            common::time_point now) {
  const std::string_view name = kStepNames.at(static_cast<size_t>(why));
  const auto held_for = [this](common::held_for what) {
    return static_cast<int64_t>(HeldFor(what));
  };
  common::Metrics().Count("wisteria_memory_given_up_total", {{"why", name}});
  common::LogEvent(common::log_event::kMemoryGivenUp, "",
                   {{"why", name},
                    {"bytes", static_cast<int64_t>(held.bytes)},
                    {"silent_ms", common::ToMillis(now - held.progress_at)},
                    {"age_ms", common::ToMillis(now - held.since)},
                    {"held", static_cast<int64_t>(held_)},
                    {"incoming", held_for(common::held_for::kIncoming)},
                    {"requests", held_for(common::held_for::kRequest)},
                    {"responses", held_for(common::held_for::kResponse)},
                    {"messages", held_for(common::held_for::kMessage)},
                    {"budget", static_cast<int64_t>(options_.budget)}});
}

void memory_account::MakeRoom() {
  const common::time_point now = clock_.Now();
  while (Pressed()) {
    step why = step::kNone;
    common::byte_holder* const next = Next(now, &why);
    if (next == nullptr || held_ <= LimitOf(why, now)) {
      if (Exceeded()) {
        common::Metrics().Count("wisteria_memory_without_room_total");
      }
      return;
    }
    Report(holders_.at(next).held, why, now);
    // Forgotten first: giving way may be put off to the event loop.
    Set(*next, {});
    next->GiveWay();
  }
}

void SetMemoryMetrics(const memory_account& account) {
  common::Metrics().Set("wisteria_memory_held_bytes",
                        static_cast<double>(account.held()));
  const auto set = [&account](std::string_view name, common::held_for what) {
    common::Metrics().Set("wisteria_memory_held_for_bytes",
                          static_cast<double>(account.HeldFor(what)),
                          {{"what", name}});
  };
  set("incoming", common::held_for::kIncoming);
  set("requests", common::held_for::kRequest);
  set("responses", common::held_for::kResponse);
  set("messages", common::held_for::kMessage);
  common::Metrics().Set("wisteria_memory_budget_bytes",
                        static_cast<double>(account.budget()));
}

}  // namespace wisteriadale::core
