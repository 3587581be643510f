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

namespace wisteriadale::core {

/// A part of a prompt that other requests may share.
struct prompt_part {
  std::string id;
  uint32_t tokens = 0;
};

/// What the choice of a target goes by.
struct selection_context {
  std::string_view service;
  std::span<const prompt_part> parts;  ///< in the order of the prompt
  uint32_t prompt_tokens = 0;
  /// Bytes of stage results in each data centre, if any.
  std::unordered_map<std::string, uint64_t> input_bytes;
  std::span<const std::string> tried;  ///< ids of targets not to ask again
};

/// Which parts of prompts each target was last sent, as a hint of what it
/// holds. Bounded for each target.
class prompt_cache_hints {
 public:
  /// @return tokens at the start of the prompt that the target seems to hold
  uint32_t HeldTokens(std::string_view target,
                      std::span<const prompt_part> parts) const;
  void NoteSent(const std::string& target, std::span<const prompt_part> parts);
  void Forget(std::string_view target);

 private:
  struct held_parts {
    std::list<std::string> order;  ///< the newest first
    std::unordered_map<std::string, std::list<std::string>::iterator> index;
  };

  std::unordered_map<std::string, held_parts> targets_;
};

struct target_selector_options {
  /// Prompt tokens that an engine reads in a millisecond.
  double tokens_per_ms = 110;
  /// Time that one more running request costs the others, in milliseconds.
  double per_request_ms = 6;
  /// Price of moving a megabyte of results between data centres, as time.
  double per_megabyte_ms = 12;
  /// Price of another data centre without inputs, as time.
  double cross_data_centre_ms = 1;
};

/// Chooses the target with the least time to the first event: what it still
/// has to read, the part of the prompt that it does not hold, and inputs from
/// other data centres. All gateways take the same target for the home of a
/// shared beginning, which is expected to hold it. Load it answers: long
/// prompts with shared beginnings, and one beginning that gets much of the
/// traffic.
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

  /// @return a target, or null when none can be asked
  std::shared_ptr<fleet_target> Choose(const selection_context& question);
  /// @return the data centre in which a request is likely to run
  std::string LikelyDataCentre(const selection_context& question);
  prompt_cache_hints& hints() { return hints_; }

 private:
  double Cost(const fleet_target& target, const selection_context& question,
              bool is_home) const;
  /// @return the home of the prompt's shared parts, or null
  std::shared_ptr<fleet_target> HomeOf(const selection_context& question) const;

  target_selector_options options_;
  target_directory& targets_;
  common::clock& clock_;
  common::random_source& random_;
  std::string data_centre_;
  prompt_cache_hints hints_;
};

}  // namespace wisteriadale::core
