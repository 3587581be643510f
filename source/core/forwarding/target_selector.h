#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "common/random.h"
#include "core/fleet/target_directory.h"
#include "core/fleet/target_statements.h"
#include "core/limits/target_slots.h"

namespace wisteriadale::core {

/// A part of a prompt, which other requests may share.
struct prompt_part {
  std::string id;
  uint32_t tokens = 0;
};

/// Properties of a request that the choice of its target depends on.
struct selection_context {
  std::string_view service;
  std::span<const prompt_part> parts;  ///< in the order of the prompt
  uint32_t prompt_tokens = 0;
  /// Bytes of its stage results, by data centre.
  std::unordered_map<std::string, uint64_t> input_bytes;
  std::span<const std::string> tried;  ///< ids of targets not to try again
  /// Requests that targets with a limit still take; null: limits do not count.
  const target_slots* slots = nullptr;
  /// Which targets take no requests for a time; null: that does not count.
  const target_statements* statements = nullptr;
};

/// The target that was chosen for a request.
struct target_choice {
  std::shared_ptr<fleet_target> target;  ///< null if there is none
  bool ejected = false;
  /// A better target, whose limit allows no request now; null if there is none.
  std::shared_ptr<fleet_target> limited;
  /// Time until the first of the targets takes requests again; 0: one does now,
  /// or there is none.
  common::duration back_off_left{0};
};

/// Remembers which prompt parts were last sent to each target, as a hint of
/// what its prefix cache holds. Keeps a limited number of parts per target
/// (LRU).
class prompt_cache_hints {
 public:
  /// @return length of the prompt prefix that the target is likely to hold, in
  /// tokens
  uint32_t HeldTokens(std::string_view target,
                      std::span<const prompt_part> parts) const;
  /// Records that a prompt was sent to a target.
  void NoteSent(const std::string& target, std::span<const prompt_part> parts);
  /// Drops the hints of a target.
  void Forget(std::string_view target);

 private:
  struct cached_parts {
    std::list<std::string> order;  ///< most recently sent first
    std::unordered_map<std::string, std::list<std::string>::iterator> index;
  };

  std::unordered_map<std::string, cached_parts> targets_;
};

/// Parameters of the cost model, which estimates a time in milliseconds.
struct target_selector_options {
  /// Prefill speed of an engine, in prompt tokens per millisecond.
  double tokens_per_ms = 110;
  /// Delay by each request that is already running on the target.
  double per_request_ms = 6;
  /// Cost of transferring a megabyte of results between data centres.
  double per_megabyte_ms = 12;
  /// Fixed cost of a target in another data centre.
  double remote_ms = 1;
  /// How long the targets of a data centre whose evacuation was taken back get
  /// a growing share of what they would get.
  common::duration return_ramp = std::chrono::seconds(5);
};

/// Chooses the target with the lowest estimated time to the first event: its
/// prefill backlog, the part of the prompt that it has not cached, and the
/// transfer of inputs from other data centres.
///
/// Each shared prompt prefix has an affinity target, the same on all gateways,
/// that is assumed to have it cached. Since the backlog counts too, a prefix
/// that gets much of the traffic still spreads over several targets.
class target_selector {
 public:
  target_selector(const target_selector_options& options,
                  target_directory& targets, common::clock& clock,
                  common::random_source& random, std::string data_centre)
      : options_(options),
        targets_(targets),
        clock_(clock),
        random_(random),
        data_centre_(std::move(data_centre)) {}

  target_choice Choose(const selection_context& context);
  /// @return the data centre in which a request is likely to run; empty if
  /// there is no target
  std::string LikelyDataCentre(const selection_context& context);
  prompt_cache_hints& hints() { return hints_; }

 private:
  /// @return whether a target whose data centre is used again shortly is left
  /// out of a choice, so that work returns to it gradually
  bool IsHeldBack(const fleet_target& target, common::time_point now);
  /// @return estimated time to the first event, in milliseconds
  double Cost(const fleet_target& target, const selection_context& context,
              bool has_affinity) const;
  /// @return the target assumed to have the prompt's shared parts cached, by
  /// rendezvous hashing; null if no part is shared
  std::shared_ptr<fleet_target> AffinityTarget(
      const selection_context& context) const;

  target_selector_options options_;
  target_directory& targets_;
  common::clock& clock_;
  common::random_source& random_;
  std::string data_centre_;
  prompt_cache_hints hints_;
};

}  // namespace wisteriadale::core
