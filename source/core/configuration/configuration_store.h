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

/// One accepted configuration, as the table remembers it.
struct configuration_entry {
  uint64_t version = 0;
  std::string token;   ///< of the apply that it came from
  std::string digest;  ///< names the document in the object store
  std::string preset;
  std::string author;
  int64_t wall_us = 0;  ///< when, for people to read
};

/// The row `configuration/head`. The row's version is the configuration's.
struct configuration_head {
  configuration_entry entry;
  std::vector<configuration_entry> recent;  ///< older ones, newest first
};

/// A document offered in place of a version.
struct apply_request {
  std::string document;
  uint64_t expected_version = 0;  ///< version seen by the operator; 0: none
  std::string token;              ///< names this apply; made when empty
  std::string author;
};

/// What became of an apply.
enum class apply_status {
  kAccepted,
  kBadDocument,
  kSuperseded,  ///< another version was accepted first; this one never will be
  kPending,     ///< not accepted so far; its write may still take effect
  kUnknown,     ///< the platform does not tell
};

struct apply_result {
  apply_status status = apply_status::kUnknown;
  std::string reason;
  std::string token;
  uint64_t version = 0;               ///< the accepted one, or the one lost to
  configuration_entry superseded_by;  ///< what it lost to
};

/// Reads and moves the row `configuration/head`. Each write is conditional and
/// carries the apply's token, so a lost answer is settled by reading back.
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

  /// @param handler takes the head, version 0 for none yet, or nothing when
  /// the table does not answer
  void ReadHead(head_handler handler);
  /// @param handler takes the document, checked against the digest
  void ReadDocument(const std::string& digest, document_handler handler);
  /// Offers a document. The caller has checked it.
  /// @param preset the preset that the document names
  void Apply(apply_request request, const std::string& preset,
             apply_handler handler);
  /// Tells what became of an apply whose answer was lost.
  void FindApply(const std::string& token, uint64_t expected_version,
                 apply_handler handler);
  /// @param limit most entries, newest first
  void History(uint32_t limit, history_handler handler);

 private:
  struct application;

  void Move(const std::shared_ptr<application>& work);
  void OnMoved(const std::shared_ptr<application>& work,
               const table_result& answer);
  void Settle(const std::shared_ptr<application>& work);
  void OnReadBack(const std::shared_ptr<application>& work,
                  const std::optional<configuration_head>& head);
  void Accept(const std::shared_ptr<application>& work);
  void WriteHistory(const configuration_entry& entry);

  table& rows_;
  object_store& objects_;
  common::timer_service& timers_;
  common::clock& clock_;
  common::random_source& random_;
};

}  // namespace wisteriadale::core
