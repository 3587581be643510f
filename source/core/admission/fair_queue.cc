#include "core/admission/fair_queue.h"

#include <algorithm>
#include <cmath>

namespace wisteriadale::core {

void fair_lanes::Push(queued_attempt attempt) {
  const std::string organisation = attempt.organisation;
  lane& own = lanes_[organisation];
  if (own.waiting.empty()) {
    // An idle organisation saves up no turns.
    own.weight = std::max(attempt.weight, 1U);
    own.tag = std::max(own.tag, virtual_now_);
    active_weight_ += own.weight;
    turns_.emplace(own.tag, organisation);
  }
  const order at{attempt.deadline, next_++};
  places_[attempt.id] = {organisation, at};
  deadlines_.emplace(at, attempt.id);
  own.waiting.emplace(at, std::move(attempt));
}

std::optional<queued_attempt> fair_lanes::Pop() {
  if (turns_.empty()) return std::nullopt;
  const std::string organisation = turns_.begin()->second;
  lane& own = lanes_[organisation];
  virtual_now_ = own.tag;
  queued_attempt first = own.waiting.begin()->second;
  turns_.erase(turns_.begin());
  own.tag += 1.0 / own.weight;
  turns_.emplace(own.tag, organisation);
  Remove(organisation, own.waiting.begin()->first);
  return first;
}

void fair_lanes::Remove(const std::string& organisation, const order& at) {
  const auto found = lanes_.find(organisation);
  lane& own = found->second;
  const auto attempt = own.waiting.find(at);
  places_.erase(attempt->second.id);
  deadlines_.erase({at, attempt->second.id});
  own.waiting.erase(attempt);
  if (!own.waiting.empty()) return;
  turns_.erase({own.tag, organisation});
  active_weight_ -= own.weight;
  // A lane behind the virtual time holds nothing worth keeping.
  if (own.tag <= virtual_now_ || turns_.empty()) lanes_.erase(found);
}

bool fair_lanes::Erase(std::string_view id) {
  const auto found = places_.find(std::string(id));
  if (found == places_.end()) return false;
  const place at = found->second;
  Remove(at.organisation, at.at);
  return true;
}

void fair_lanes::RemoveExpired(common::time_point now,
                               std::vector<queued_attempt>* out) {
  while (!deadlines_.empty() && deadlines_.begin()->first.first <= now) {
    const place at = places_.at(deadlines_.begin()->second);
    out->push_back(lanes_.at(at.organisation).waiting.at(at.at));
    Remove(at.organisation, at.at);
  }
}

size_t fair_lanes::Waiting(const std::string& organisation) const {
  const auto found = lanes_.find(organisation);
  return found == lanes_.end() ? 0 : found->second.waiting.size();
}

double fair_lanes::Share(const std::string& organisation,
                         uint32_t weight) const {
  const double own = std::max(weight, 1U);
  const double others =
      static_cast<double>(active_weight_) -
      (Waiting(organisation) > 0 ? lanes_.at(organisation).weight : 0);
  return own / (own + others);
}

size_t fair_lanes::Ahead(const queued_attempt& attempt) const {
  const auto found = lanes_.find(attempt.organisation);
  size_t own = 0;
  if (found != lanes_.end()) {
    const std::map<order, queued_attempt>& waiting = found->second.waiting;
    own = static_cast<size_t>(std::distance(
        waiting.begin(), waiting.lower_bound({attempt.deadline, next_})));
  }
  // Others take their turns between those of this organisation.
  const double turns = std::ceil(static_cast<double>(own) /
                                 Share(attempt.organisation, attempt.weight));
  const size_t others = size() - Waiting(attempt.organisation);
  return std::min(static_cast<size_t>(turns), own + others);
}

std::optional<queue_refusal> fair_queue::Refusal(const queued_attempt& attempt,
                                                 const queue_load& load) const {
  using common::result_code;
  if (attempt.deferrable) {
    if (deferrable_.size() < options_.deferrable_bound) return std::nullopt;
    return queue_refusal{result_code::kOverloaded,
                         "the queue of deferrable work is full"};
  }
  const double share = urgent_.Share(attempt.organisation, attempt.weight);
  const size_t bound = std::max<size_t>(
      1, static_cast<size_t>(share * static_cast<double>(options_.bound)));
  if (urgent_.Waiting(attempt.organisation) >= bound) {
    return queue_refusal{result_code::kOverloaded,
                         "the organisation's share of the queue is full"};
  }
  const common::duration wait = ExpectedWait(urgent_.Ahead(attempt), load);
  const common::duration needed =
      std::max(load.service_time, load.min_remaining);
  if (load.now + wait + needed > attempt.deadline) {
    return queue_refusal{result_code::kOverloaded,
                         "the attempt could not end before its deadline"};
  }
  return std::nullopt;
}

void fair_queue::Push(queued_attempt attempt) {
  fair_lanes& lanes = attempt.deferrable ? deferrable_ : urgent_;
  lanes.Push(std::move(attempt));
}

std::optional<queued_attempt> fair_queue::Pop(const queue_load&) {
  if (urgent_.size() == 0) return deferrable_.Pop();
  if (deferrable_.size() == 0) {
    urgent_turns_ = 0;
    return urgent_.Pop();
  }
  if (++urgent_turns_ < options_.deferrable_turn) return urgent_.Pop();
  urgent_turns_ = 0;
  return deferrable_.Pop();
}

bool fair_queue::Erase(std::string_view id) {
  return urgent_.Erase(id) || deferrable_.Erase(id);
}

std::vector<queued_attempt> fair_queue::RemoveExpired(common::time_point now) {
  std::vector<queued_attempt> expired;
  urgent_.RemoveExpired(now, &expired);
  deferrable_.RemoveExpired(now, &expired);
  return expired;
}

common::duration fair_queue::EstimatedWait(const queue_load& load) const {
  return ExpectedWait(urgent_.size(), load);
}

}  // namespace wisteriadale::core
