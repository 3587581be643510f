#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "common/clock.h"

namespace wisteriadale::core {

/// Whether a request may run more than once.
enum class request_kind {
  kIdempotent,
  kNonIdempotent,
  kStreaming,  ///< runs once, unless its route is resumable
};

/// A service that receives a share of a route's requests.
struct weighted_service {
  std::string service;
  uint32_t weight = 1;
};

/// Work on another service that a request needs before it can run.
struct stage_spec {
  std::string service;
  std::vector<uint32_t>
      depends_on;             ///< indices of the stages whose results it takes
  uint64_t result_bytes = 0;  ///< approximate size of one piece's result
};

/// Where the requests of a host and path prefix are sent, and their limits.
struct route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< begins and ends with a slash
  request_kind kind = request_kind::kNonIdempotent;
  common::duration timeout{0};    ///< longest time until the response
  common::duration objective{0};  ///< for the response, or for its first event
  common::duration event_gap_objective{0};  ///< longest gap between two events
  /// Callers give up on a stream that does not start within this time; 0: only
  /// the deadline counts.
  common::duration patience{0};
  uint32_t priority = 0;      ///< 0 is served first
  uint32_t max_attempts = 1;  ///< targets that a request may be sent to
  bool is_public = false;     ///< callers need no key
  bool resumable = false;     ///< its streams can continue on another target
  bool shares_prompt_prefixes = false;  ///< requests name their prompt parts
  std::vector<weighted_service> services;
  std::vector<stage_spec> stages;

  /// @return whether a request may run more than once
  bool retryable() const {
    return kind == request_kind::kIdempotent ||
           (kind == request_kind::kStreaming && resumable);
  }
};

/// How the targets of a service process the pieces of stages.
struct batch_spec {
  uint32_t slots = 1;                  ///< concurrent calls on one target
  uint32_t max_pieces = 1;             ///< limit per call
  common::duration call_time{0};       ///< fixed part of the duration of a call
  common::duration piece_time{0};      ///< added to it by each piece
  uint64_t result_capacity_bytes = 0;  ///< memory for results on one target
  common::duration result_lifetime{0};  ///< after which results expire
};

/// How the model engines of a service run prompts.
struct engine_spec {
  uint32_t slots = 1;          ///< concurrent requests on one engine
  uint64_t memory_tokens = 0;  ///< capacity of its KV cache
};

/// A group of equivalent targets.
struct service_spec {
  std::string name;
  uint32_t max_connections =
      0;  ///< to one target from all clients; 0: no limit
  std::optional<batch_spec> batches;
  std::optional<engine_spec> engine;
  /// How long a target is cold after its start.
  common::duration cold_time{0};
  /// Requests that a cold target takes from all gateways; 0: any number.
  double cold_per_second = 0;
};

/// Limits of what callers may send.
struct caller_limits {
  uint64_t max_header_bytes = uint64_t{16} * 1024;
  uint64_t max_body_bytes = uint64_t{4} << 20;
  common::duration header_timeout = std::chrono::seconds(3);
  common::duration idle_timeout = std::chrono::seconds(15);
};

/// An organisation, identified by the keys of its callers.
struct organisation_spec {
  std::string name;
  std::vector<std::string> keys;
  std::optional<uint32_t> priority;  ///< decides before the route's
};

/// The decoded contents of a route table.
struct route_document {
  uint64_t version = 0;
  std::vector<route> routes;
  std::vector<service_spec> services;
  std::vector<organisation_spec> organisations;
  caller_limits limits;
};

/// One immutable version of the routes, services and organisations, with
/// lookups.
class route_table {
 public:
  explicit route_table(route_document document);
  route_table(const route_table&) = delete;
  route_table& operator=(const route_table&) = delete;

  uint64_t version() const { return document_.version; }
  const route_document& document() const { return document_; }
  const caller_limits& limits() const { return document_.limits; }
  /// @return whether callers need a key for routes that are not public
  bool needs_keys() const { return !document_.organisations.empty(); }

  /// @param host without port; case is ignored
  /// @param path without query
  /// @return the route with the longest prefix of the path, or null
  const route* Find(std::string_view host, std::string_view path) const;
  /// @return the organisation that owns a key, or null
  const organisation_spec* FindKey(std::string_view key) const;
  /// @return the service of that name, or null
  const service_spec* FindService(std::string_view name) const;

 private:
  route_document document_;
  /// Routes of each host, the longest prefix first.
  std::map<std::string, std::vector<const route*>, std::less<>> by_host_;
  std::unordered_map<std::string_view, const organisation_spec*> by_key_;
  std::unordered_map<std::string_view, const service_spec*> by_service_;
};

/// Orders the routes that an operator writes: by version and, where a restored
/// store had lost a version and it was written anew, by the era of the store.
struct routes_edition {
  uint64_t version = 0;
  uint64_t era = 0;  ///< see store_point

  friend bool operator==(const routes_edition&,
                         const routes_edition&) = default;
  friend bool operator<(const routes_edition& left,
                        const routes_edition& right) {
    return std::tie(left.version, left.era) <
           std::tie(right.version, right.era);
  }
};

/// Holds the route table in force. Only newer editions replace it.
class route_holder {
 public:
  /// @param era of the store that the table was read in
  /// @return whether the table is newer than the one in force and replaced it
  bool ReplaceIfNewer(std::shared_ptr<const route_table> table,
                      uint64_t era = 0);
  /// The table in force was read again.
  /// @param era of the store that it was read in
  void Confirm(uint64_t era) { era_ = std::max(era_, era); }
  /// @return the table in force, or null before the first
  const std::shared_ptr<const route_table>& current() const { return current_; }
  /// @return the edition in force; version 0 before the first
  routes_edition edition() const {
    return {current_ ? current_->version() : 0, era_};
  }

 private:
  std::shared_ptr<const route_table> current_;
  uint64_t era_ = 0;
};

}  // namespace wisteriadale::core
