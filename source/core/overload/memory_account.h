#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>

#include "common/byte_account.h"

namespace wisteriadale::core {

struct memory_account_options {
  /// Bytes that may be held for callers.
  uint64_t budget = uint64_t{100} << 20;
  /// A request whose caller sends nothing for so long gives way first.
  common::duration body_stall = std::chrono::milliseconds(500);
  /// A response of which its caller takes nothing for so long gives way next;
  /// after body_stall if others wait for room.
  common::duration response_stall = std::chrono::seconds(2);
  /// Holders of less than this give way only when they stall.
  uint64_t small_bytes = uint64_t{16} * 1024;
};

/// @param memory_mb of the VM, in MB
/// @return what a process has beside its code, routes, links and logs, in bytes
uint64_t BytesBesideOwn(double memory_mb);

/// @param memory_mb of the VM, in MB
/// @return the options that leave the process enough for itself
memory_account_options MakeMemoryAccountOptions(double memory_mb);

/// Bounds the bytes that a process holds for callers. What a crowd sends and
/// does not finish, or asks for and does not read, makes room for others.
///
/// When more is held than the budget allows, holders give way in this sequence:
/// requests whose callers have stopped sending, the longest silent first;
/// responses whose callers have stopped reading; then the request that is being
/// read since the shortest time, as it loses least; last a message of a
/// channel, as peers within the system use these. Requests in progress are
/// kept: they may have run.
///
/// Responses are read on from targets while less than half of the budget is
/// used. Beyond that they grow one after the other, up to somewhat more than
/// the budget: each keeps its turn while it makes use of it, as parts of many
/// would fill the room and none end. Those of callers that do not take what
/// they were sent before do not grow: they would take each room that is made.
/// While others wait for room, what stalls gives way from half of the budget
/// on.
class memory_account final : public common::byte_account {
 public:
  memory_account(const memory_account_options& options,
                 const common::clock& clock)
      : options_(options), clock_(clock) {}

  void Set(common::byte_holder& holder, const common::holding& held) override;
  void MakeRoom() override;
  bool MayGrow(const common::byte_holder& holder) override;

  bool Pressed() const override { return held_ > options_.budget / 2; }

  bool Exceeded() const { return held_ > options_.budget; }
  uint64_t held() const { return held_; }
  /// @return the part of held that is held for this
  uint64_t HeldFor(common::held_for what) const {
    return held_for_.at(static_cast<size_t>(what));
  }
  uint64_t budget() const { return options_.budget; }

 private:
  /// Step in the sequence in which holders give way; 0 is the first.
  enum class step {
    kStalledRequest,
    kStalledResponse,
    kNewestRequest,
    kNewestMessage,
    kNone
  };

  /// @return whether the caller has taken nothing for some time
  bool IsStalled(const common::holding& held, common::time_point now) const {
    return now - held.progress_at >= options_.body_stall;
  }
  /// @return whether a holder was refused room lately
  bool OthersWait(common::time_point now) const;
  /// @return how much may be held before a holder in that step gives way: what
  /// stalls makes room for others that wait, too
  uint64_t LimitOf(step at, common::time_point now) const;
  step StepOf(const common::holding& held, common::time_point now) const;
  /// Logs and counts that a holder gives way.
  void Report(const common::holding& held, step why, common::time_point now);
  void Add(const common::holding& held);
  void Subtract(const common::holding& held);
  /// @return the next holder to give way, or null
  common::byte_holder* Next(common::time_point now, step* why) const;

  memory_account_options options_;
  const common::clock& clock_;
  struct entry {
    common::byte_holder* holder = nullptr;
    common::holding held;
  };

  std::unordered_map<const common::byte_holder*, entry> holders_;
  uint64_t held_ = 0;
  std::array<uint64_t, common::kHeldForCount> held_for_{};
  /// The holder that may grow though there is no room.
  struct turn {
    const common::byte_holder* holder = nullptr;
    common::time_point asked_at{};
  };
  turn turn_;
  common::time_point refused_at_{};  ///< latest refusal of MayGrow
};

/// Sets what an account holds as gauges.
void SetMemoryMetrics(const memory_account& account);

}  // namespace wisteriadale::core
