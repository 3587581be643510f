#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "core/admission/attempt_queue.h"

namespace wisteriadale::core {

/// Bounds of a fair queue.
struct fair_queue_options {
  size_t bound = 64;               ///< of attempts that may not be deferred
  size_t deferrable_bound = 8192;  ///< of deferrable attempts
  uint32_t deferrable_turn = 10;   ///< each n-th turn is deferrable work's
};

/// Shares turns between organisations by weight (start-time fair queueing over
/// virtual time); within one organisation the earliest deadline goes first.
/// Each turn counts the same.
class fair_lanes {
 public:
  void Push(queued_attempt attempt);
  std::optional<queued_attempt> Pop();
  bool Erase(std::string_view id);
  /// Takes out the attempts whose deadline has passed.
  void RemoveExpired(common::time_point now, std::vector<queued_attempt>* out);

  size_t size() const { return places_.size(); }
  /// @return attempts of an organisation that wait
  size_t Waiting(const std::string& organisation) const;
  /// @return share of the turns that an organisation gets once it waits, (0, 1]
  double Share(const std::string& organisation, uint32_t weight) const;
  /// @return attempts likely to run before this one
  size_t Ahead(const queued_attempt& attempt) const;

 private:
  using order = std::pair<common::time_point, uint64_t>;

  struct lane {
    uint32_t weight = 1;
    double tag = 0;  ///< virtual time of its next turn
    std::map<order, queued_attempt> waiting;
  };

  /// Where an attempt waits.
  struct place {
    std::string organisation;
    order at;
  };

  void Remove(const std::string& organisation, const order& at);

  std::unordered_map<std::string, lane> lanes_;
  std::set<std::pair<double, std::string>> turns_;  ///< lanes that wait, by tag
  std::unordered_map<std::string, place> places_;   ///< by attempt id
  std::set<std::pair<order, std::string>>
      deadlines_;  ///< attempts, by deadline
  double virtual_now_ = 0;
  uint64_t active_weight_ = 0;
  uint64_t next_ = 0;
};

/// A queue that knows deadlines, organisations and deferrable work. It refuses
/// at once what cannot end in time and what exceeds its organisation's share
/// of a full queue. Deferrable attempts wait in lanes of their own, with a
/// guaranteed share of the turns, and are refused only at a far bound.
class fair_queue final : public attempt_queue {
 public:
  explicit fair_queue(const fair_queue_options& options) : options_(options) {}

  std::optional<queue_refusal> Refusal(const queued_attempt& attempt,
                                       const queue_load& load) const override;
  void Push(queued_attempt attempt) override;
  std::optional<queued_attempt> Pop(const queue_load& load) override;
  bool Erase(std::string_view id) override;
  std::vector<queued_attempt> RemoveExpired(common::time_point now) override;
  size_t size() const override { return urgent_.size() + deferrable_.size(); }
  common::duration EstimatedWait(const queue_load& load) const override;

 private:
  fair_queue_options options_;
  fair_lanes urgent_;
  fair_lanes deferrable_;
  uint32_t urgent_turns_ = 0;  ///< in a row, while deferrable work waited
};

}  // namespace wisteriadale::core
