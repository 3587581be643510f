#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "core/admission/attempt_queue.h"

namespace wisteriadale::core {

/// Capacity and priorities of a fair queue.
struct fair_queue_options {
  size_t bound = 64;               ///< capacity for urgent attempts
  size_t deferrable_bound = 8192;  ///< capacity for deferrable attempts
  /// While both kinds wait, one dispatch in this many is deferrable.
  uint32_t deferrable_interval = 10;
};

/// Start-time fair queueing: organisations share the dispatches in proportion
/// to their weights; within an organisation the earliest deadline runs first.
/// Every attempt has the same cost.
class weighted_fair_queue {
 public:
  void Push(queued_attempt attempt);
  std::optional<queued_attempt> Pop();
  bool Erase(std::string_view id);
  /// Moves the attempts whose deadline has passed to `removed`.
  void RemoveExpired(common::time_point now,
                     std::vector<queued_attempt>* removed);

  size_t size() const { return positions_.size(); }
  /// @return number of queued attempts of an organisation
  size_t Waiting(const std::string& organisation) const;
  /// @return share of the dispatches that the organisation gets while it has
  /// attempts queued, in (0, 1]
  double Share(const std::string& organisation, uint32_t weight) const;
  /// @return expected number of queued attempts that run before this one
  size_t Ahead(const queued_attempt& attempt) const;

 private:
  /// Deadline, then the sequence number of the push.
  using sort_key = std::pair<common::time_point, uint64_t>;

  /// Queue of one organisation.
  struct flow {
    uint32_t weight = 1;
    double start_tag = 0;  ///< virtual time of its next dispatch
    std::map<sort_key, queued_attempt> waiting;
  };

  struct position {
    std::string organisation;
    sort_key key;
  };

  void Remove(const std::string& organisation, const sort_key& key);

  std::unordered_map<std::string, flow> flows_;  ///< by organisation
  /// Flows with queued attempts, by start tag.
  std::set<std::pair<double, std::string>> schedule_;
  std::unordered_map<std::string, position> positions_;  ///< by attempt id
  /// Ids of all queued attempts, by deadline.
  std::set<std::pair<sort_key, std::string>> deadlines_;
  double virtual_now_ = 0;
  uint64_t active_weight_ = 0;  ///< sum over the flows with queued attempts
  uint64_t next_sequence_ = 0;
};

/// Queue with fair shares for organisations. It refuses at once an attempt that
/// cannot end before its deadline or that exceeds its organisation's share of
/// the capacity. Deferrable attempts have a queue of their own with a
/// guaranteed share of the dispatches; they are refused only when that queue is
/// full.
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
  weighted_fair_queue urgent_;
  weighted_fair_queue deferrable_;
  /// Consecutive urgent dispatches while deferrable attempts waited.
  uint32_t urgent_dispatches_ = 0;
};

}  // namespace wisteriadale::core
