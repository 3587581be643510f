#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"

namespace wisteriadale::core {

/// A suspect's crash count, as gateways exchange it.
struct crash_report {
  std::string digest;    ///< of a request, or as PartDigest returns
  uint32_t crashes = 0;  ///< weight of consecutive losses; 0: it was answered
  bool operator==(const crash_report&) const = default;
};

/// What is known of a suspect.
struct crash_state {
  uint32_t crashes = 0;
  common::time_point until{};       ///< end of the suspicion, or of the refusal
  common::time_point kept_until{};  ///< when its count is forgotten
};

/// Thresholds and durations of refusals.
struct crash_suspects_options {
  /// Weight of consecutive losses from which a suspect is refused: a single
  /// target can be lost for unrelated reasons, three in a row hardly.
  uint32_t crashes_to_refuse = 3;
  /// Losses within this time count once: many targets can be lost at once.
  common::duration loss_interval{0};
  /// A loss only counts if some request was answered this recently; otherwise
  /// all targets may be failing. 0: it always counts.
  common::duration answer_window{0};
  /// How long a suspect is tracked. A retry comes within its caller's deadline,
  /// at most some ten seconds; callers that start over need longer.
  common::duration suspect_duration = std::chrono::minutes(2);
  /// Duration of the first refusal: a few restarts of a target.
  common::duration initial_refusal = std::chrono::minutes(5);
  /// Factor by which each further crash prolongs the refusal, ...
  int64_t refusal_growth = 4;
  /// ... up to this, the duration of a quarantine.
  common::duration max_refusal = std::chrono::hours(1);
  /// Bounds the memory used: some 150 bytes each.
  size_t max_suspects = 2000;
};

/// @return options for parts of prompts, which many requests share
crash_suspects_options PartSuspectsOptions();

/// @return the digest under which a part of prompts is tracked
std::string PartDigest(std::string_view part_id);
/// @return whether a digest belongs to a part of prompts, not to a request
bool IsPartDigest(std::string_view digest);

/// Counts the consecutive targets lost while they ran a suspect, and refuses
/// one that crashes every target. A suspect is a request that its caller sends
/// again, or a part of prompts that differ otherwise. Gateways exchange their
/// counts, as callers may use any of them.
class crash_suspects {
 public:
  crash_suspects(const crash_suspects_options& options, common::clock& clock)
      : options_(options), clock_(clock) {}

  /// @param handler receives each change to send to the other gateways
  void SetReportHandler(std::function<void(const crash_report&)> handler) {
    on_report_ = std::move(handler);
  }

  /// @return whether no suspect is tracked
  bool empty() const { return entries_.empty(); }
  /// @return whether a target was lost lately while it ran this, and none has
  /// answered it since
  bool IsSuspect(std::string_view digest) const;
  /// @return how long a suspect is still refused; 0: it is not
  common::duration RemainingRefusal(std::string_view digest) const;
  /// A target was lost while it ran a suspect.
  /// @param weight     how strongly the loss points to the suspect
  /// @param widespread most targets of the service are failing, so that the
  ///                   suspect is not to blame
  /// @param request_id of the lost request, for the log
  void OnLost(const std::string& digest, uint32_t weight, bool widespread,
              std::string_view request_id = "");
  /// A target answered a request.
  void OnAnswered(std::string_view digest);
  /// Notes that some request was answered, suspect or not.
  void NoteAnswer() { last_answer_ = clock_.Now(); }
  /// @return what is known of a suspect; nothing: it is none, or no more
  std::optional<crash_state> StateOf(std::string_view digest) const;
  /// Takes over a count that was kept elsewhere, if it is higher.
  /// @param until end of the suspicion, or of the refusal; may have passed
  void Restore(const crash_report& report, common::time_point until);
  /// Merges another gateway's report.
  void Merge(const crash_report& report);
  /// @param min_crashes lowest count to report
  /// @return the counts, for a gateway that joins
  std::vector<crash_report> Reports(uint32_t min_crashes) const;

 private:
  struct entry {
    uint32_t crashes = 0;
    common::time_point until{};  ///< end of the suspicion, or of the refusal
    common::time_point last_loss{};
  };

  void Record(const std::string& digest, uint32_t crashes);
  /// @return whether a loss of a suspect counts
  bool Counts(const entry* known, bool widespread) const;
  /// @return whether there is room for one more suspect
  bool MakeRoomFor(std::string_view digest);
  common::time_point KeptUntil(const entry& known) const;
  common::duration DurationFor(uint32_t crashes) const;

  crash_suspects_options options_;
  common::clock& clock_;
  std::function<void(const crash_report&)> on_report_;
  std::map<std::string, entry, std::less<>> entries_;
  common::time_point last_answer_{};
};

}  // namespace wisteriadale::core
