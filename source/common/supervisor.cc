#include "common/supervisor.h"

#include <algorithm>

#include "common/last_error.h"
#include "common/log.h"
#include "common/metrics.h"

namespace wisteriadale::common {

supervisor::~supervisor() {
  timers_.Cancel(check_timer_);
  for (const std::unique_ptr<child>& entry : children_) {
    timers_.Cancel(entry->timer);
  }
}

void supervisor::Add(component& child_component) {
  std::unique_ptr<child> entry = std::make_unique<child>();
  entry->part = &child_component;
  entry->next_delay = options_.restart_delay;
  children_.push_back(std::move(entry));
}

bool supervisor::Start() {
  stopping_ = false;
  gave_up_ = false;
  for (const std::unique_ptr<child>& entry : children_) {
    entry->restarts.clear();
    if (!StartChild(entry.get())) return false;
  }
  check_timer_ = timers_.Schedule(options_.check_period, [this] { Check(); });
  return true;
}

bool supervisor::StartChild(child* entry) {
  if (!entry->part->Start()) {
    Log(log_channel::kMain, log_level::kError,
        std::string(entry->part->name()) +
            " failed to start: " + LastError().text);
    return false;
  }
  entry->state = child_state::kRunning;
  return true;
}

void supervisor::Check() {
  check_timer_ = 0;
  if (stopping_ || gave_up_) return;
  for (const std::unique_ptr<child>& entry : children_) {
    if (entry->state != child_state::kRunning) continue;
    if (!entry->part->Healthy()) RestartChild(entry.get());
    if (gave_up_) return;
  }
  check_timer_ = timers_.Schedule(options_.check_period, [this] { Check(); });
}

bool supervisor::MayRestart(child* entry) {
  const time_point now = clock_.Now();
  while (!entry->restarts.empty() &&
         now - entry->restarts.front() > options_.restart_window) {
    entry->restarts.pop_front();
  }
  if (entry->restarts.empty()) entry->next_delay = options_.restart_delay;
  if (entry->restarts.size() < options_.max_restarts) return true;
  Log(log_channel::kMain, log_level::kError,
      name_ + " gives up restarting " + std::string(entry->part->name()));
  gave_up_ = true;
  if (give_up_handler_) timers_.Schedule(duration(0), give_up_handler_);
  return false;
}

void supervisor::RestartChild(child* entry) {
  if (!MayRestart(entry)) return;
  entry->restarts.push_back(clock_.Now());
  entry->state = child_state::kRestarting;
  Metrics().Count("wisteria_component_restarts_total",
                  {{"component", entry->part->name()}});
  Log(log_channel::kMain, log_level::kWarning,
      "restarting " + std::string(entry->part->name()));
  entry->part->Stop([this, entry] { ScheduleStart(entry); });
}

void supervisor::ScheduleStart(child* entry) {
  if (stopping_) return;
  const duration delay = entry->next_delay;
  entry->next_delay = std::min(delay * 2, options_.max_restart_delay);
  entry->timer = timers_.Schedule(delay, [this, entry] {
    entry->timer = 0;
    if (stopping_ || StartChild(entry) || !MayRestart(entry)) return;
    entry->restarts.push_back(clock_.Now());
    ScheduleStart(entry);
  });
}

void supervisor::Stop(std::function<void()> on_stopped) {
  stopping_ = true;
  timers_.Cancel(check_timer_);
  check_timer_ = 0;
  StopFrom(children_.size(), on_stopped);
}

void supervisor::StopFrom(size_t count,
                          const std::function<void()>& on_stopped) {
  if (count == 0) {
    if (on_stopped) on_stopped();
    return;
  }
  child* entry = children_[count - 1].get();
  timers_.Cancel(entry->timer);
  entry->timer = 0;
  if (entry->state != child_state::kRunning) {
    entry->state = child_state::kStopped;
    StopFrom(count - 1, on_stopped);
    return;
  }
  entry->state = child_state::kStopped;
  entry->part->Stop(
      [this, count, on_stopped] { StopFrom(count - 1, on_stopped); });
}

}  // namespace wisteriadale::common
