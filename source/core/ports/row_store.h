#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"

namespace wisteriadale::core {

enum class row_store_status {
  kOk,
  kCompacted,   ///< changes since that version are not kept any more
  kConflict,    ///< a condition did not hold; nothing was written
  kRefused,     ///< nothing was done
  kNoResponse,  ///< a write may have been done, or may be done later
};

/// A row of the store.
struct stored_row {
  std::string key;
  std::string value;
  uint64_t version = 0;
  bool removed = false;
};

struct row_store_result {
  row_store_status status = row_store_status::kNoResponse;
  std::vector<stored_row> rows;
  /// Of the whole store at the moment of the answer.
  uint64_t version = 0;
};

using row_store_handler = std::function<void(const row_store_result&)>;

/// The platform's versioned rows. Handlers run on the loop, never inside the
/// call, and exactly once.
class row_store {
 public:
  virtual ~row_store() = default;
  /// Reads all rows of a table.
  virtual void ReadTable(std::string_view table, row_store_handler handler) = 0;
  /// Reads what changed in a table after a version.
  /// @param wait how long the answer may wait for a change
  virtual void ReadChanges(std::string_view table, uint64_t after,
                           common::milliseconds wait,
                           row_store_handler handler) = 0;
  /// Writes a row whatever it holds.
  virtual void Put(std::string_view table, std::string_view key,
                   std::string_view value, row_store_handler handler) = 0;
  /// Removes a row.
  virtual void Remove(std::string_view table, std::string_view key,
                      row_store_handler handler) = 0;
};

}  // namespace wisteriadale::core
