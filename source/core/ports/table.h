#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

/// Ports are the interfaces through which the core reaches external services.
namespace wisteriadale::core {

/// Priority of a call under the client-side rate limit, highest first.
enum class table_priority { kOperations, kConfiguration, kOther };

enum class table_status {
  kOk,
  kConflict,     ///< the row has another version; nothing was written
  kUnavailable,  ///< no response: a write may or may not have taken effect
  kRefused,      ///< client-side rate limit exceeded; nothing was sent
};

/// A row of the platform's table. Version 0 means that the row does not exist.
struct table_row {
  std::string key;
  std::string value;
  uint64_t version = 0;
};

struct table_result {
  table_status status = table_status::kUnavailable;
  table_row row;  ///< current row, if the response contains it
};

struct table_list_result {
  table_status status = table_status::kUnavailable;
  std::vector<table_row> rows;
};

/// A conditional write in a batch.
struct table_write {
  std::string key;
  uint64_t expected_version = 0;  ///< 0: the row must not exist
  std::string value;
};

using table_batch_handler =
    std::function<void(const std::vector<table_result>&)>;
using table_handler = std::function<void(const table_result&)>;
using table_list_handler = std::function<void(const table_list_result&)>;

/// Port to the platform's transactional table service. Each handler is called
/// exactly once, from the event loop and never from within the call.
class table {
 public:
  virtual ~table() = default;

  /// Reads one row. A row that does not exist yields kOk with version 0.
  virtual void Read(std::string_view key, table_priority priority,
                    table_handler handler) = 0;

  /// Writes a row if its version equals the expected one.
  /// @param expected_version 0: the row must not exist
  virtual void Write(std::string_view key, uint64_t expected_version,
                     std::string_view value, table_priority priority,
                     table_handler handler) = 0;

  /// Writes several rows in one transaction of the service. Each write has its
  /// own condition; a conflict of one does not affect the others.
  /// @param handler receives the results of the writes, in their order
  virtual void WriteBatch(const std::vector<table_write>& writes,
                          table_priority priority,
                          table_batch_handler handler) = 0;

  /// Lists the rows whose keys start with a prefix.
  /// @param limit maximum number of rows returned
  virtual void List(std::string_view prefix, uint32_t limit,
                    table_priority priority, table_list_handler handler) = 0;

  /// Like List, but starts after a given key; for pagination.
  virtual void ListAfter(std::string_view prefix, std::string_view after,
                         uint32_t limit, table_priority priority,
                         table_list_handler handler) = 0;
};

}  // namespace wisteriadale::core
