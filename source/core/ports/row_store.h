#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "common/clock.h"

namespace wisteriadale::core {

enum class row_store_status {
  kOk,
  kCompacted,   ///< changes since that version are no longer available
  kConflict,    ///< a precondition failed; nothing was written
  kRefused,     ///< the call had no effect
  kNoResponse,  ///< a write may have taken effect, or may do so later
};

/// A row of the store, or the tombstone of a removed one.
struct stored_row {
  std::string key;
  std::string value;
  uint64_t version = 0;
  bool removed = false;  ///< tombstone; the value is empty
};

/// A point in the history of the whole store. A store that is restored from an
/// older copy of itself gives versions out again, so that only those of one era
/// can be compared.
struct store_point {
  uint64_t era = 0;  ///< rises with each restore; 0: not stated
  uint64_t version = 0;

  friend bool operator==(const store_point&, const store_point&) = default;
  friend bool operator<(const store_point& left, const store_point& right) {
    return std::tie(left.era, left.version) <
           std::tie(right.era, right.version);
  }
};

/// A row to write, or to remove.
struct row_change {
  std::string key;
  std::optional<std::string> value;  ///< nothing: removes the row
};

/// Most changes that one call may make.
inline constexpr size_t kMaxRowChanges = 100;

struct row_store_result {
  row_store_status status = row_store_status::kNoResponse;
  std::vector<stored_row> rows;
  store_point at;  ///< where the store was at the time of the response
  /// The store's own steady clock; nothing: not stated.
  std::optional<common::milliseconds> clock;
};

using row_store_handler = std::function<void(const row_store_result&)>;

/// The platform's store of versioned rows. Each handler is called exactly once,
/// from the event loop and never from within the call.
class row_store {
 public:
  virtual ~row_store() = default;
  /// Reads all rows of a table.
  virtual void ReadTable(std::string_view table, row_store_handler handler) = 0;
  /// Reads the changes to a table after a version of the store's present era
  /// (long polling).
  /// @param wait how long the store may wait for a change before it responds
  virtual void ReadChanges(std::string_view table, uint64_t after,
                           common::milliseconds wait,
                           row_store_handler handler) = 0;
  /// Writes and removes rows of a table unconditionally: all of them, or none.
  /// @param changes at most kMaxRowChanges
  virtual void Write(std::string_view table,
                     std::span<const row_change> changes,
                     row_store_handler handler) = 0;
};

}  // namespace wisteriadale::core
