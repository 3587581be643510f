#pragma once

#include <cstdint>
#include <deque>
#include <string_view>
#include <vector>

#include "core/ports/table.h"

namespace wisteriadale::core {

/// How writes are gathered.
struct batching_table_options {
  size_t max_rows = 64;        ///< in one transaction
  uint32_t max_in_flight = 4;  ///< transactions; later writes gather meanwhile
};

/// Gathers conditional writes into transactions of the table service, whose
/// transactions are few. A write goes out at once while few are in flight, so a
/// quiet router waits for nothing; under load, writes that arrive meanwhile go
/// together. Every write keeps its own condition and answer.
class batching_table final : public table {
 public:
  batching_table(const batching_table_options& options, table& rows)
      : options_(options), rows_(rows) {}

  void Read(std::string_view key, table_priority priority,
            table_handler handler) override;
  void Write(std::string_view key, uint64_t expected_version,
             std::string_view value, table_priority priority,
             table_handler handler) override;
  void WriteBatch(const std::vector<table_write>& writes,
                  table_priority priority,
                  table_batch_handler handler) override;
  void List(std::string_view prefix, uint32_t limit, table_priority priority,
            table_list_handler handler) override;
  void ListAfter(std::string_view prefix, std::string_view after,
                 uint32_t limit, table_priority priority,
                 table_list_handler handler) override;

 private:
  struct waiting_write {
    table_write write;
    table_handler handler;
  };

  void SendWaiting();
  void SendOne();

  batching_table_options options_;
  table& rows_;
  std::deque<waiting_write> waiting_;
  uint32_t in_flight_ = 0;
};

}  // namespace wisteriadale::core
