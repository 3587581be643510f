#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/random.h"
#include "common/result_code.h"
#include "core/ports/object_store.h"
#include "core/ports/table.h"

namespace wisteriadale::core {

/// Record of an accepted configuration in the table.
struct configuration_entry {
  uint64_t version = 0;
  std::string token;   ///< identifies the apply
  std::string digest;  ///< of the document; its name in the object store
  std::string preset;  ///< preset that the document selects
  std::string author;
  int64_t wall_us = 0;  ///< wall-clock time of the apply, informational only
};

/// The row `configuration/head`. Its row version is the configuration's
/// version.
struct configuration_head {
  configuration_entry entry;                ///< the accepted configuration
  std::vector<configuration_entry> recent;  ///< previous ones, newest first
};

/// Request to replace the configuration of a given version.
struct apply_request {
  std::string document;
  uint64_t expected_version = 0;  ///< version to replace; 0: there is none yet
  std::string token;              ///< idempotency token; generated if empty
  std::string author;
};

enum class apply_status {
  kAccepted,
  kBadDocument,
  kSuperseded,  ///< another version was accepted first; this one never will be
  kPending,     ///< not accepted yet, but the write may still take effect
  kUnknown,     ///< the platform did not respond
};

struct apply_result {
  apply_status status = apply_status::kUnknown;
  std::string reason;
  std::string token;
  /// Accepted version: that of this apply, or the one that superseded it.
  uint64_t version = 0;
  configuration_entry superseded_by;  ///< set for kSuperseded
};

/// Reads and updates the row `configuration/head`. Each write is conditional
/// and contains the token of the apply, so that a write without a response can
/// be verified by reading the row back.
class configuration_store {
 public:
  using head_handler = std::function<void(std::optional<configuration_head>)>;
  using document_handler = std::function<void(std::optional<std::string>)>;
  using apply_handler = std::function<void(const apply_result&)>;
  using history_handler =
      std::function<void(std::optional<std::vector<configuration_entry>>)>;

  configuration_store(table& rows, object_store& objects,
                      common::timer_service& timers, common::clock& clock,
                      common::random_source& random)
      : rows_(rows),
        objects_(objects),
        timers_(timers),
        clock_(clock),
        random_(random) {}

  /// @param handler receives the head (version 0 if there is no configuration
  ///                yet), or nothing if the table does not respond
  void ReadHead(head_handler handler);
  /// @param handler receives the document, or nothing if it is not available or
  ///                does not match the digest
  void ReadDocument(const std::string& digest, document_handler handler);
  /// Tries to replace the configuration.
  /// @param request request with a document that the caller has validated
  /// @param preset  preset that the document selects
  void Apply(apply_request request, const std::string& preset,
             apply_handler handler);
  /// Finds out the result of an earlier apply.
  /// @param expected_version the expected version of that apply
  void FindApply(const std::string& token, uint64_t expected_version,
                 apply_handler handler);
  /// @param limit   maximum number of entries
  /// @param handler receives the entries, newest first, or nothing if the table
  ///                does not respond
  void History(uint32_t limit, history_handler handler);

 private:
  /// State of an apply in progress.
  struct pending_apply;

  void WriteHead(const std::shared_ptr<pending_apply>& apply);
  void OnHeadWritten(const std::shared_ptr<pending_apply>& apply,
                     const table_result& result);
  void ScheduleReadBack(const std::shared_ptr<pending_apply>& apply);
  void OnReadBack(const std::shared_ptr<pending_apply>& apply,
                  const std::optional<configuration_head>& head);
  void Accept(const std::shared_ptr<pending_apply>& apply);
  void WriteHistory(const configuration_entry& entry);

  table& rows_;
  object_store& objects_;
  common::timer_service& timers_;
  common::clock& clock_;
  common::random_source& random_;
};

}  // namespace wisteriadale::core
