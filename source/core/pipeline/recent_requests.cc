#include "core/pipeline/recent_requests.h"

namespace wisteriadale::core {

void recent_requests::OnAdmitted(std::string_view id,
                                 std::string_view organisation) {
  recent_request& request = requests_[std::string(id)];
  request.organisation = organisation;
  order_.emplace_back(id);
  EvictOldest();
}

void recent_requests::OnEnded(std::string_view id, int http_status,
                              std::string_view answer) {
  const auto found = requests_.find(std::string(id));
  if (found == requests_.end()) return;
  found->second.ended = true;
  found->second.http_status = http_status;
  found->second.answer = answer;
  bytes_ += answer.size();
  EvictOldest();
}

const recent_request* recent_requests::Find(
    std::string_view id, std::string_view organisation) const {
  const auto found = requests_.find(std::string(id));
  if (found == requests_.end()) return nullptr;
  // Requests of other organisations are reported as not found.
  if (found->second.organisation != organisation) return nullptr;
  return &found->second;
}

void recent_requests::EvictOldest() {
  while (order_.size() > options_.max_requests ||
         (bytes_ > options_.max_bytes && !order_.empty())) {
    const auto oldest = requests_.find(order_.front());
    order_.pop_front();
    if (oldest == requests_.end()) continue;
    bytes_ -= oldest->second.answer.size();
    requests_.erase(oldest);
  }
}

}  // namespace wisteriadale::core
