#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/clock.h"

namespace wisteriadale::core {

/// What may be repeated of a request.
enum class request_kind {
  kIdempotent,
  kNonIdempotent,
  kStreaming,  ///< runs at most once unless its route is resumable
};

/// A service that takes a share of a route's requests.
struct weighted_service {
  std::string service;
  uint32_t weight = 1;
};

/// Work on other services that a request needs before it can run.
struct stage_spec {
  std::string service;
  std::vector<uint32_t> depends_on;  ///< stages whose results it takes
  uint64_t result_bytes = 0;         ///< of one piece, approximately
};

/// Where the requests of a host and path prefix go, and on what terms.
struct route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< begins and ends with a slash
  request_kind kind = request_kind::kNonIdempotent;
  common::duration timeout{0};    ///< longest time a caller is kept waiting
  common::duration objective{0};  ///< to the answer, or to the first event
  common::duration event_gap_objective{
      0};  ///< longest pause between two events
  /// Callers of a stream leave if it does not begin within this time; 0: only
  /// the deadline counts.
  common::duration patience{0};
  uint32_t priority = 0;      ///< 0 is served first
  uint32_t max_attempts = 1;  ///< targets that one request may be sent to
  bool is_public = false;     ///< needs no key
  bool resumable = false;
  bool shares_prompt_prefixes =
      false;  ///< its requests name the parts of a prompt
  std::vector<weighted_service> services;
  std::vector<stage_spec> stages;

  /// @return whether a request may run more than once
  bool retryable() const {
    return kind == request_kind::kIdempotent ||
           (kind == request_kind::kStreaming && resumable);
  }
};

/// How the targets of a service take pieces of stages.
struct batch_spec {
  uint32_t slots = 1;       ///< calls in progress on one target
  uint32_t max_pieces = 1;  ///< most pieces of one call
  common::duration call_time{0};
  common::duration piece_time{0};
  uint64_t result_capacity_bytes = 0;  ///< for results on one target
  common::duration result_lifetime{0};
};

/// How the targets of a service run prompts.
struct engine_spec {
  uint32_t slots = 1;
  uint64_t memory_tokens = 0;
};

struct service_spec {
  std::string name;
  uint32_t max_connections = 0;  ///< to one target from all callers; 0: any
  std::optional<batch_spec> batches;
  std::optional<engine_spec> engine;
};

/// What callers may send.
struct caller_limits {
  uint64_t max_header_bytes = uint64_t{16} * 1024;
  uint64_t max_body_bytes = uint64_t{4} << 20;
  common::duration header_timeout = std::chrono::seconds(3);
  common::duration idle_timeout = std::chrono::seconds(15);
};

struct organisation_spec {
  std::string name;
  std::vector<std::string> keys;
  std::optional<uint32_t> priority;  ///< goes before the route's
};

/// The parts of a table, as decoded.
struct route_document {
  uint64_t version = 0;
  std::vector<route> routes;
  std::vector<service_spec> services;
  std::vector<organisation_spec> organisations;
  caller_limits limits;
};

/// One version of the routes, services and organisations. It never changes.
class route_table {
 public:
  explicit route_table(route_document document);
  route_table(const route_table&) = delete;
  route_table& operator=(const route_table&) = delete;

  uint64_t version() const { return document_.version; }
  const route_document& document() const { return document_; }
  const caller_limits& limits() const { return document_.limits; }
  /// @return whether callers of routes that are not public need a key
  bool needs_keys() const { return !document_.organisations.empty(); }

  /// @param host without port, in any case
  /// @param path without query
  /// @return the route with the longest prefix of the path, or null
  const route* Find(std::string_view host, std::string_view path) const;
  /// @return the organisation that holds a key, or null
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

/// The table in force, replaced by newer versions only.
class route_holder {
 public:
  /// @return whether the table is newer than the one in force and was taken
  bool ReplaceIfNewer(std::shared_ptr<const route_table> table);
  /// @return the table in force, or null before the first
  const std::shared_ptr<const route_table>& current() const { return current_; }

 private:
  std::shared_ptr<const route_table> current_;
};

}  // namespace wisteriadale::core
