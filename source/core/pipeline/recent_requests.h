#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace wisteriadale::core {

/// How much of what was answered is kept.
struct recent_requests_options {
  size_t max_requests = 10000;
  size_t max_bytes = size_t{8} << 20;
};

/// A request that a router has admitted.
struct recent_request {
  std::string organisation;
  bool ended = false;
  int http_status = 0;
  std::string answer;  ///< JSON text, once ended
};

/// What became of the requests that a router admitted last, so that a caller
/// whose connection broke can ask. Bounded; the oldest are forgotten first.
class recent_requests {
 public:
  explicit recent_requests(const recent_requests_options& options)
      : options_(options) {}

  /// A request was admitted.
  void OnAdmitted(std::string_view id, std::string_view organisation);
  /// A request ended with an answer.
  void OnEnded(std::string_view id, int http_status, std::string_view answer);
  /// @return the request, if it is known and belongs to the organisation
  const recent_request* Find(std::string_view id,
                             std::string_view organisation) const;
  size_t bytes() const { return bytes_; }

 private:
  void Trim();

  recent_requests_options options_;
  std::unordered_map<std::string, recent_request> requests_;
  std::deque<std::string> order_;  ///< oldest first
  size_t bytes_ = 0;
};

}  // namespace wisteriadale::core
