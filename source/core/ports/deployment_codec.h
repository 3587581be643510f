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

/// Names of the headers that callers and targets use.
struct header_names {
  std::string request_id;
  std::string deadline_ms;
  std::string key;
  std::string organisation;
  std::string expected_target;
  std::string not_run;  ///< marks a request that the target did not run
  /// Names the request limit of a target, in its responses.
  std::string request_limit;
  std::string leaving;    ///< says, in its responses, that a target leaves
  std::string back_off;   ///< says, in a rejection, for how long it holds
  std::string signature;  ///< proves that a response is from the target itself
  std::string priority;
  std::string piece_counts;
  std::string piece_key;
  std::string inputs;
  std::string prompt_parts;
  std::string prompt_tokens;
  std::string last_event_id;
  /// Headers that are removed from callers' requests.
  std::vector<std::string> reserved;
};

/// Tables and keys of the deployment's documents in the row store.
struct deployment_locations {
  std::string routes_table;
  std::string routes_key;
  std::string targets_table;
  std::string gateways_table;  ///< written by the gateways themselves
  /// Keys of the routes' table that begin so name an evacuated data centre.
  std::string evacuation_prefix;
  std::string suspects_table;  ///< written by the gateways; see suspect_rows
};

/// Encodes and decodes the formats of the surrounding deployment.
class deployment_codec {
 public:
  virtual ~deployment_codec() = default;
  virtual const header_names& headers() const = 0;
  virtual const deployment_locations& locations() const = 0;
  /// @return the routes, or nothing (with LastError set) if they are malformed
  virtual std::optional<route_document> DecodeRoutes(
      std::string_view text) const = 0;
  /// @return the target, or nothing (with LastError set) if it is malformed
  virtual std::optional<target_entry> DecodeTarget(
      std::string_view id, std::string_view text) const = 0;

  /// Request path of the call that runs pieces of stages.
  virtual std::string_view stage_path() const = 0;
  virtual std::string EncodePieces(std::span<const piece_ref> pieces,
                                   common::time_point now) const = 0;
  /// @param target   address of the target that sent the response
  /// @param expected number of pieces in the request
  /// @return the results in order, or nothing (with LastError set) if the body
  /// is malformed
  virtual std::optional<std::vector<piece_result>> DecodePieces(
      std::string_view target, size_t expected,
      std::string_view body) const = 0;
  /// @return address of the target that produced a result
  virtual std::string_view ProducerAddress(std::string_view handle) const = 0;
  /// @param marked whether the response has the header header_names::not_run
  /// @return whether the response says that the request did not run
  virtual bool IndicatesNotRun(int status, bool marked) const = 0;
  /// @return whether callers take a response with that status for the promise
  /// that the request has not run and never will
  virtual bool PromisesNotRun(int status) const = 0;
  /// @return whether a response is from another target than the one that was
  /// meant
  virtual bool IndicatesMisdirected(int status) const = 0;
  /// @return whether a target rejects requests for a time with such a response
  virtual bool IndicatesBackOff(int status) const = 0;
  /// @param marked whether the response has the header header_names::not_run
  /// @return whether the request did not run because its inputs no longer exist
  virtual bool IndicatesMissingInputs(int status, bool marked) const = 0;
  /// Request path of the call that releases results.
  virtual std::string_view release_path() const = 0;
  virtual std::string EncodeRelease(
      std::span<const std::string> handles) const = 0;
};

}  // namespace wisteriadale::core
