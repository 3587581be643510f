#include "core/operations/batching_table.h"

#include <algorithm>
#include <memory>

#include "common/invariant.h"

namespace wisteriadale::core {

void batching_table::Read(std::string_view key, table_priority priority,
                          table_handler handler) {
  rows_.Read(key, priority, std::move(handler));
}

void batching_table::WriteBatch(const std::vector<table_write>& writes,
                                table_priority priority,
                                table_batch_handler handler) {
  rows_.WriteBatch(writes, priority, std::move(handler));
}

void batching_table::List(std::string_view prefix, uint32_t limit,
                          table_priority priority, table_list_handler handler) {
  rows_.List(prefix, limit, priority, std::move(handler));
}

void batching_table::ListAfter(std::string_view prefix, std::string_view after,
                               uint32_t limit, table_priority priority,
                               table_list_handler handler) {
  rows_.ListAfter(prefix, after, limit, priority, std::move(handler));
}

void batching_table::Write(std::string_view key, uint64_t expected_version,
                           std::string_view value, table_priority priority,
                           table_handler handler) {
  // Other writes are rare; only those of operations are worth batching.
  if (priority != table_priority::kOperations) {
    rows_.Write(key, expected_version, value, priority, std::move(handler));
    return;
  }
  table_write write{std::string(key), expected_version, std::string(value)};
  queue_.push_back({std::move(write), std::move(handler)});
  SendQueued();
}

void batching_table::SendQueued() {
  while (!queue_.empty() && in_flight_ < options_.max_in_flight) SendBatch();
}

void batching_table::SendBatch() {
  const size_t size = std::min(queue_.size(), options_.max_rows);
  std::vector<table_write> writes;
  const std::shared_ptr<std::vector<table_handler>> handlers =
      std::make_shared<std::vector<table_handler>>();
  writes.reserve(size);
  handlers->reserve(size);
  for (size_t i = 0; i < size; ++i) {
    writes.push_back(std::move(queue_.front().write));
    handlers->push_back(std::move(queue_.front().handler));
    queue_.pop_front();
  }
  ++in_flight_;
  rows_.WriteBatch(
      writes, table_priority::kOperations,
      [this, handlers](const std::vector<table_result>& answers) {
        --in_flight_;
        common::CheckInvariant(answers.size() == handlers->size(),
                               "batch_answers_each_write", "");
        for (size_t i = 0; i < handlers->size(); ++i) {
          // Without its own result, a write may or may not have taken effect.
          (*handlers)[i](i < answers.size() ? answers[i] : table_result());
        }
        SendQueued();
      });
}

}  // namespace wisteriadale::core
