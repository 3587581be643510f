#pragma once

#include <memory>
#include <string_view>
#include <utility>
#include <vector>

#include "core/ports/table.h"
#include "unit_tests/fakes/process_time.h"

namespace wisteriadale::fakes {

/// The shared table as seen by one simulated process: results are deferred
/// while the process is paused and dropped after it was killed.
class process_table final : public core::table {
 public:
  process_table(core::table& shared, process_time& process)
      : shared_(shared), process_(process) {}

  void Read(std::string_view key, core::table_priority priority,
            core::table_handler handler) override {
    shared_.Read(key, priority, Guard<core::table_result>(std::move(handler)));
  }
  void Write(std::string_view key, uint64_t expected_version,
             std::string_view value, core::table_priority priority,
             core::table_handler handler) override {
    shared_.Write(key, expected_version, value, priority,
                  Guard<core::table_result>(std::move(handler)));
  }
  void WriteBatch(const std::vector<core::table_write>& writes,
                  core::table_priority priority,
                  core::table_batch_handler handler) override {
    shared_.WriteBatch(
        writes, priority,
        Guard<std::vector<core::table_result>>(std::move(handler)));
  }
  void ListAfter(std::string_view prefix, std::string_view after,
                 uint32_t limit, core::table_priority priority,
                 core::table_list_handler handler) override {
    shared_.ListAfter(prefix, after, limit, priority,
                      Guard<core::table_list_result>(std::move(handler)));
  }
  void List(std::string_view prefix, uint32_t limit,
            core::table_priority priority,
            core::table_list_handler handler) override {
    shared_.List(prefix, limit, priority,
                 Guard<core::table_list_result>(std::move(handler)));
  }

 private:
  template <typename result>
  std::function<void(const result&)> Guard(
      std::function<void(const result&)> handler) {
    const std::shared_ptr<result> stored = std::make_shared<result>();
    std::function<void()> event = process_.Event(
        [stored, handler = std::move(handler)] { handler(*stored); });
    return [stored, event = std::move(event)](const result& received) {
      *stored = received;
      event();
    };
  }

  core::table& shared_;
  process_time& process_;
};

}  // namespace wisteriadale::fakes
