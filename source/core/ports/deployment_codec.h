#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/fleet/target_directory.h"
#include "core/routes/route_table.h"
#include "core/stages/piece_queue.h"

namespace wisteriadale::core {

/// Header names of callers and targets.
struct header_names {
  std::string request_id;
  std::string deadline_ms;
  std::string key;
  std::string organisation;
  std::string expected_target;
  std::string not_run;    ///< a target says that it did not run the request
  std::string signature;  ///< shows that an answer is a target's own
  std::string priority;
  std::string piece_counts;
  std::string piece_key;
  std::string inputs;
  std::string prompt_parts;
  std::string prompt_tokens;
  std::string last_event_id;
  /// Headers of callers that are never passed on.
  std::vector<std::string> reserved;
};

/// Where the deployment's documents lie in the store.
struct deployment_locations {
  std::string routes_table;
  std::string routes_key;
  std::string targets_table;
  std::string gateways_table;  ///< of our own
};

/// Formats of the deployment that the system runs in.
class deployment_codec {
 public:
  virtual ~deployment_codec() = default;
  virtual const header_names& headers() const = 0;
  virtual const deployment_locations& locations() const = 0;
  /// @return the routes, or nothing with LastReason set
  virtual std::optional<route_document> DecodeRoutes(
      std::string_view text) const = 0;
  /// @return the target, or nothing with LastReason set
  virtual std::optional<target_entry> DecodeTarget(
      std::string_view id, std::string_view text) const = 0;

  /// Path of the call that makes pieces of stages.
  virtual std::string_view stage_path() const = 0;
  virtual std::string EncodePieces(std::span<const piece_ref> pieces,
                                   common::time_point now) const = 0;
  /// @param target  address of the target that answered
  /// @param expected number of pieces that were asked for
  /// @return the results in order, or nothing with LastReason set
  virtual std::optional<std::vector<piece_result>> DecodePieces(
      std::string_view target, size_t expected,
      std::string_view body) const = 0;
  /// @return the address of the target that made a result
  virtual std::string_view ProducerAddress(std::string_view handle) const = 0;
  /// @param marked the answer bears the header of header_names::not_run
  /// @return whether an answer says that the request did not run
  virtual bool IndicatesNotRun(int status, bool marked) const = 0;
  /// @return whether a request did not run because inputs do not exist any more
  virtual bool IndicatesMissingInputs(int status, bool marked) const = 0;
  virtual std::string_view release_path() const = 0;
  virtual std::string EncodeRelease(
      std::span<const std::string> handles) const = 0;
};

}  // namespace wisteriadale::core
