#include "core/admission/fair_queue.h"

#include <algorithm>
#include <cmath>

namespace wisteriadale::core {

void weighted_fair_queue::Push(queued_attempt attempt) {
  const std::string organisation = attempt.organisation;
  flow& own = flows_[organisation];
  if (own.waiting.empty()) {
    // An idle organisation does not accumulate credit.
    own.weight = std::max(attempt.weight, 1U);
    own.start_tag = std::max(own.start_tag, virtual_now_);
    active_weight_ += own.weight;
    schedule_.emplace(own.start_tag, organisation);
  }
  const sort_key key{attempt.deadline, next_sequence_++};
  positions_[attempt.id] = {organisation, key};
  deadlines_.emplace(key, attempt.id);
  own.waiting.emplace(key, std::move(attempt));
}

std::optional<queued_attempt> weighted_fair_queue::Pop() {
  if (schedule_.empty()) return std::nullopt;
  const std::string organisation = schedule_.begin()->second;
  flow& own = flows_[organisation];
  virtual_now_ = own.start_tag;
  queued_attempt next = own.waiting.begin()->second;
  schedule_.erase(schedule_.begin());
  own.start_tag += 1.0 / own.weight;
  schedule_.emplace(own.start_tag, organisation);
  Remove(organisation, own.waiting.begin()->first);
  return next;
}

void weighted_fair_queue::Remove(const std::string& organisation,
                                 const sort_key& key) {
  const auto found = flows_.find(organisation);
  flow& own = found->second;
  const auto attempt = own.waiting.find(key);
  positions_.erase(attempt->second.id);
  deadlines_.erase({key, attempt->second.id});
  own.waiting.erase(attempt);
  if (!own.waiting.empty()) return;
  schedule_.erase({own.start_tag, organisation});
  active_weight_ -= own.weight;
  // Push raises a start tag to the virtual time, so one that is not ahead of it
  // need not be kept.
  if (own.start_tag <= virtual_now_ || schedule_.empty()) flows_.erase(found);
}

bool weighted_fair_queue::Erase(std::string_view id) {
  const auto found = positions_.find(std::string(id));
  if (found == positions_.end()) return false;
  const position queued = found->second;
  Remove(queued.organisation, queued.key);
  return true;
}

void weighted_fair_queue::RemoveExpired(common::time_point now,
                                        std::vector<queued_attempt>* removed) {
  while (!deadlines_.empty() && deadlines_.begin()->first.first <= now) {
    const position queued = positions_.at(deadlines_.begin()->second);
    removed->push_back(flows_.at(queued.organisation).waiting.at(queued.key));
    Remove(queued.organisation, queued.key);
  }
}

size_t weighted_fair_queue::Waiting(const std::string& organisation) const {
  const auto found = flows_.find(organisation);
  return found == flows_.end() ? 0 : found->second.waiting.size();
}

double weighted_fair_queue::Share(const std::string& organisation,
                                  uint32_t weight) const {
  const double own = std::max(weight, 1U);
  const double others =
      static_cast<double>(active_weight_) -
      (Waiting(organisation) > 0 ? flows_.at(organisation).weight : 0);
  return own / (own + others);
}

size_t weighted_fair_queue::Ahead(const queued_attempt& attempt) const {
  const auto found = flows_.find(attempt.organisation);
  size_t own = 0;
  if (found != flows_.end()) {
    const std::map<sort_key, queued_attempt>& waiting = found->second.waiting;
    own = static_cast<size_t>(
        std::distance(waiting.begin(),
                      waiting.lower_bound({attempt.deadline, next_sequence_})));
  }
  // Dispatches of other organisations interleave with this organisation's.
  const double dispatches = std::ceil(
      static_cast<double>(own) / Share(attempt.organisation, attempt.weight));
  const size_t others = size() - Waiting(attempt.organisation);
  return std::min(static_cast<size_t>(dispatches), own + others);
}

std::optional<queue_refusal> fair_queue::Refusal(const queued_attempt& attempt,
                                                 const queue_load& load) const {
  using common::result_code;
  if (attempt.deferrable) {
    if (deferrable_.size() < options_.deferrable_bound) return std::nullopt;
    return queue_refusal{result_code::kOverloaded,
                         "the queue for deferrable work is full"};
  }
  const double share = urgent_.Share(attempt.organisation, attempt.weight);
  const size_t capacity = std::max<size_t>(
      1, static_cast<size_t>(share * static_cast<double>(options_.bound)));
  if (urgent_.Waiting(attempt.organisation) >= capacity) {
    return queue_refusal{result_code::kOverloaded,
                         "the organisation's share of the queue is full"};
  }
  const common::duration wait = ExpectedWait(urgent_.Ahead(attempt), load);
  const common::duration needed =
      std::max(load.service_time, load.min_remaining);
  if (load.now + wait + needed > attempt.deadline) {
    return queue_refusal{result_code::kOverloaded,
                         "the attempt cannot finish before its deadline"};
  }
  return std::nullopt;
}

void fair_queue::Push(queued_attempt attempt) {
  weighted_fair_queue& queue = attempt.deferrable ? deferrable_ : urgent_;
  queue.Push(std::move(attempt));
}

std::optional<queued_attempt> fair_queue::Pop(const queue_load&) {
  if (urgent_.size() == 0) return deferrable_.Pop();
  if (deferrable_.size() == 0) {
    urgent_dispatches_ = 0;
    return urgent_.Pop();
  }
  if (++urgent_dispatches_ < options_.deferrable_interval) return urgent_.Pop();
  urgent_dispatches_ = 0;
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
