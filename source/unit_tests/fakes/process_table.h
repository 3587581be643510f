#pragma once

#include <memory>
#include <string_view>
#include <utility>
#include <vector>

#include "core/ports/table.h"
#include "unit_tests/fakes/process_time.h"

namespace wisteriadale::fakes {

/// The shared table as one simulated process sees it: answers wait while the
/// process is paused and are dropped once it was killed.
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
  template <typename answer>
  std::function<void(const answer&)> Guard(
      std::function<void(const answer&)> handler) {
    const std::shared_ptr<answer> kept = std::make_shared<answer>();
    std::function<void()> event = process_.Event(
        [kept, handler = std::move(handler)] { handler(*kept); });
    return [kept, event = std::move(event)](const answer& given) {
      *kept = given;
      event();
    };
  }

  core::table& shared_;
  process_time& process_;
};

}  // namespace wisteriadale::fakes
