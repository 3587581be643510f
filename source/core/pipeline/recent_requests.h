#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace wisteriadale::core {

/// Bounds of the recent requests that are kept.
struct recent_requests_options {
  size_t max_requests = 10000;
  size_t max_bytes = size_t{8} << 20;  ///< of answers
};

/// A request that a router has admitted.
struct recent_request {
  std::string organisation;
  bool ended = false;
  int http_status = 0;
  std::string answer;  ///< JSON text, once ended
};

/// Status and answers of the requests that a router admitted last, so that a
/// caller whose connection broke can query them. Bounded in number and bytes;
/// the oldest are evicted first.
class recent_requests {
 public:
  explicit recent_requests(const recent_requests_options& options)
      : options_(options) {}

  /// Adds a request that was admitted.
  void OnAdmitted(std::string_view id, std::string_view organisation);
  /// Stores the answer of a request that ended.
  void OnEnded(std::string_view id, int http_status, std::string_view answer);
  /// @return the request, if it is known and belongs to the organisation
  const recent_request* Find(std::string_view id,
                             std::string_view organisation) const;
  size_t bytes() const { return bytes_; }

 private:
  void EvictOldest();

  recent_requests_options options_;
  std::unordered_map<std::string, recent_request> requests_;
  std::deque<std::string> order_;  ///< oldest first
  size_t bytes_ = 0;
};

}  // namespace wisteriadale::core
