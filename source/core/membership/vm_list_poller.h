#pragma once

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "common/supervisor.h"
#include "core/ports/vm_list.h"

namespace wisteriadale::core {

/// How often the VM list is read, and when reads count as stalled.
struct vm_list_poller_options {
  common::duration period = std::chrono::seconds(1);
  /// Longest time without any result, successful or not.
  common::duration stall_timeout = std::chrono::seconds(30);
};

/// Polls the platform's VM list. A read that never completes makes the
/// component unhealthy, so that its supervisor restarts it.
class vm_list_poller final : public common::component {
 public:
  using list_handler = std::function<void(const std::vector<vm_entry>&)>;

  /// @param on_list receives each list that was read
  vm_list_poller(const vm_list_poller_options& options, vm_list& source,
                 common::clock& clock, common::timer_service& timers,
                 list_handler on_list)
      : options_(options),
        source_(source),
        clock_(clock),
        timers_(timers),
        on_list_(std::move(on_list)) {}

  std::string_view name() const override { return "vm_list_poller"; }
  bool Start() override;
  void Stop(std::function<void()> on_stopped) override;
  bool Healthy() const override;

 private:
  /// Reads the list; schedules itself once the result is there.
  void Poll();

  vm_list_poller_options options_;
  vm_list& source_;
  common::clock& clock_;
  common::timer_service& timers_;
  list_handler on_list_;
  uint64_t generation_ = 0;  ///< results of an earlier generation are dropped
  common::timer_id timer_ = 0;
  common::time_point last_result_{};
};

}  // namespace wisteriadale::core
