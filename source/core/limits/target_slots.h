#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "common/random.h"
#include "core/limits/limit_messages.h"
#include "core/limits/recent_sends.h"
#include "core/limits/slot_schedule.h"
#include "core/limits/target_limits.h"

namespace wisteriadale::core {

/// The gateways that share a target's limit.
class limit_peers {
 public:
  virtual ~limit_peers() = default;
  /// @return name of this gateway
  virtual const std::string& name() const = 0;
  /// @return name of the gateway that schedules a target's slots, among those
  /// that can be reached
  virtual std::string OwnerOf(std::string_view target) const = 0;
  /// @return gateways, this one included, that can be reached and choose owners
  /// among the same gateways as this one
  virtual size_t agreeing() const = 0;
  /// @return gateways that may be running, reachable or not, this one included
  virtual size_t expected() const = 0;
  /// @return whether the message was queued
  virtual bool Send(const std::string& gateway,
                    const slot_request& request) = 0;
  virtual bool Send(const std::string& gateway, const slot_reply& reply) = 0;
};

struct target_slots_options {
  /// How far ahead slots are reserved. A new owner may grant as many again.
  common::duration horizon = std::chrono::seconds(1);
  /// How long after its time an unused slot is kept.
  common::duration validity = std::chrono::milliseconds(500);
  /// An owner that has not replied by then does not count.
  common::duration reply_timeout = std::chrono::milliseconds(250);
  /// How long the time of the next free slot is believed: it comes earlier when
  /// the owner changes, or reaches more gateways.
  common::duration recheck_period = std::chrono::seconds(1);
  /// A gateway that was denied slots while other targets served its requests
  /// waits longer each time, between these bounds.
  common::duration min_back_off = std::chrono::milliseconds(50);
  common::duration max_back_off = std::chrono::seconds(8);
};

/// Outcome of waiting for a slot.
struct slot_outcome {
  bool granted = false;
  common::duration delay{0};  ///< if denied, until the next free slot
};

/// Keeps the requests to each target with a limit within that limit, over all
/// gateways together.
///
/// Each request to such a target needs a slot. One gateway owns the slots of a
/// target and hands them out as they are asked for, so that they go where the
/// requests are. It spaces them by the part of the limit that belongs to the
/// gateways that agree on the owner; the others, which may have chosen another
/// one, use the rest. A gateway whose owner does not reply schedules its own
/// equal part. Unused slots expire, so a gateway that stops or falls silent
/// holds none for long.
class target_slots {
 public:
  using outcome_handler = std::function<void(const slot_outcome&)>;

  target_slots(const target_slots_options& options, target_limits& limits,
               limit_peers& peers, common::clock& clock,
               common::timer_service& timers, common::random_source& random);
  ~target_slots();
  target_slots(const target_slots&) = delete;
  target_slots& operator=(const target_slots&) = delete;

  /// @return whether a request may be sent to the target now
  bool MaySend(const target_entry& target) const;
  /// Takes a slot for a request that is sent now, if the target has a limit.
  void Use(const target_entry& target);
  /// Asks for a slot for a later request, as one that preferred this target
  /// goes to another.
  void Want(const target_entry& target);
  /// @return time until the target's next free slot, as far as is known
  common::duration ExpectedDelay(const target_entry& target) const;
  /// Waits for a slot. When it is granted, MaySend holds until the handler
  /// returns.
  /// @param max_delay longest time to wait
  /// @param handler   called once, unless cancelled, and never from within Wait
  /// @return id for CancelWait, never 0
  uint64_t Wait(const target_entry& target, common::duration max_delay,
                outcome_handler handler);
  /// A slot that is granted later can be used by other requests. The id of a
  /// wait that has ended, or 0, is ignored.
  void CancelWait(uint64_t id);

  /// Handles a request to this gateway as the owner.
  void OnRequest(const std::string& gateway, const slot_request& request);
  void OnReply(const std::string& gateway, const slot_reply& reply);
  /// The target takes no more than its limit from now on.
  void OnLimitBegun(const std::string& target);
  /// The target takes any number of requests again.
  void OnLimitEnded(const std::string& target);

 private:
  /// What gateways sent to a target just before they knew of its limit.
  struct earlier_sends {
    common::time_point known_at{};  ///< when this gateway first heard of it
    std::map<std::string, uint32_t> by_gateway;
  };

  struct target_state {
    /// When slots that can be used expire, earliest first.
    std::vector<common::time_point> ready;
    common::time_point last_slot{};  ///< latest that was granted
    common::time_point next_free{};  ///< as the owner last said
    common::time_point next_free_known_at{};
    uint64_t wanted = 0;   ///< id of a request without a waiting handler
    uint32_t denials = 0;  ///< in a row
    common::time_point next_want{};
    common::time_point limited_since{};
    uint32_t sent_before = 0;  ///< in the second before that
  };
  struct pending_request {
    std::string target;
    int64_t started_ms = 0;
    std::string owner;
    common::duration max_delay{0};
    common::time_point due{};  ///< time of the slot, once it is granted
    bool decided = false;
    outcome_handler handler;  ///< null if nothing waits for this slot
    common::timer_id timer = 0;
  };

  uint64_t Ask(const target_entry& target, common::duration max_delay,
               outcome_handler handler);
  /// Grants the slot from the part of this gateway, as no owner replies.
  void ScheduleOwnPart(uint64_t id, std::string_view why);
  /// Decides as the owner.
  slot_reservation DecideAsOwner(const std::string& gateway,
                                 const slot_request& request);
  /// Holds the slots of a target back for what was sent to it before its limit
  /// was known.
  void NoteEarlierSends(const std::string& gateway, const slot_request& request,
                        double per_second);
  void OnDecided(uint64_t id, const slot_reservation& reservation);
  void OnSlotDue(uint64_t id);
  void End(uint64_t id, const slot_outcome& outcome);
  /// Delays the next Want of a target that was denied.
  /// @param delay until its next free slot
  void BackOff(target_state* state, common::duration delay);
  double RateOf(const pending_request& request) const;

  target_slots_options options_;
  target_limits& limits_;
  limit_peers& peers_;
  common::clock& clock_;
  common::timer_service& timers_;
  common::random_source& random_;
  slot_schedule owned_;     ///< slots of the targets that this gateway owns
  slot_schedule own_part_;  ///< slots while no owner replies
  recent_sends sends_;      ///< to targets without a limit
  std::map<std::string, earlier_sends, std::less<>> earlier_sends_;
  std::map<std::string, target_state, std::less<>> targets_;
  std::map<uint64_t, pending_request> requests_;
  uint64_t last_id_ = 0;
};

}  // namespace wisteriadale::core
