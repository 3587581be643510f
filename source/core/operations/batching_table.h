#pragma once

#include <cstdint>
#include <deque>
#include <string_view>
#include <vector>

#include "core/ports/table.h"

namespace wisteriadale::core {

/// Bounds of the batches.
struct batching_table_options {
  size_t max_rows = 64;        ///< in one transaction
  uint32_t max_in_flight = 4;  ///< transactions; further writes are queued
};

/// Batches conditional writes into transactions of the table service, which
/// allows few of them. A write is sent at once while few transactions are in
/// flight, so an idle router adds no latency; under load, writes that arrive
/// meanwhile share one. Every write keeps its own condition and result.
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
  struct queued_write {
    table_write write;
    table_handler handler;
  };

  void SendQueued();
  void SendBatch();

  batching_table_options options_;
  table& rows_;
  std::deque<queued_write> queue_;
  uint32_t in_flight_ = 0;
};

}  // namespace wisteriadale::core
