#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

/// Interfaces through which the core reaches what lies outside.
namespace wisteriadale::core {

/// Whose calls go first when the budget of platform calls is short.
enum class table_priority { kOperations, kConfiguration, kOther };

enum class table_status {
  kOk,
  kConflict,     ///< the row has another version; nothing was written
  kUnavailable,  ///< no answer: a write may or may not have taken effect
  kRefused,      ///< the client-side budget is spent; nothing was sent
};

/// A row of the platform's table. Version 0 means that there is none.
struct table_row {
  std::string key;
  std::string value;
  uint64_t version = 0;
};

struct table_result {
  table_status status = table_status::kUnavailable;
  table_row row;  ///< the row as it is now, where the answer tells
};

struct table_list_result {
  table_status status = table_status::kUnavailable;
  std::vector<table_row> rows;
};

/// One conditional write among several.
struct table_write {
  std::string key;
  uint64_t expected_version = 0;  ///< 0: the row must not exist
  std::string value;
};

using table_batch_handler =
    std::function<void(const std::vector<table_result>&)>;
using table_handler = std::function<void(const table_result&)>;
using table_list_handler = std::function<void(const table_list_result&)>;

/// The platform's transactional table service. Handlers run on the loop, never
/// inside the call, and exactly once.
class table {
 public:
  virtual ~table() = default;

  /// Reads one row; a missing row is kOk with version 0.
  virtual void Read(std::string_view key, table_priority priority,
                    table_handler handler) = 0;

  /// Writes a row if its version is still the expected one.
  /// @param expected_version 0: the row must not exist
  virtual void Write(std::string_view key, uint64_t expected_version,
                     std::string_view value, table_priority priority,
                     table_handler handler) = 0;

  /// Writes several rows in one transaction of the service. Each write is
  /// conditional by itself: one that conflicts does not hold up the others.
  /// @param handler takes one answer for each write, in their order
  virtual void WriteBatch(const std::vector<table_write>& writes,
                          table_priority priority,
                          table_batch_handler handler) = 0;

  /// Lists rows whose keys start with a prefix.
  /// @param limit most rows returned
  virtual void List(std::string_view prefix, uint32_t limit,
                    table_priority priority, table_list_handler handler) = 0;

  /// As List, from the first key after a given one; for pages.
  virtual void ListAfter(std::string_view prefix, std::string_view after,
                         uint32_t limit, table_priority priority,
                         table_list_handler handler) = 0;
};

}  // namespace wisteriadale::core
