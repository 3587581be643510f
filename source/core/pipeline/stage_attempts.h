#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "common/trace.h"

namespace wisteriadale::core {

/// An attempt in progress.
struct running_attempt {
  std::string id;
  std::string target;
  common::trace_context trace;
  common::time_point started;
  common::time_point last_progress;  ///< start, or the last chunk of its stream
  int64_t started_wall_us = 0;
  common::timer_id timeout_timer = 0;
  bool hedge = false;
  bool exclusive = false;  ///< nothing else runs on its target meanwhile
};

/// The attempts of one stage: one, or two while a hedge runs.
class stage_attempts {
 public:
  running_attempt& Add(running_attempt attempt) {
    running_.push_back(std::move(attempt));
    return running_.back();
  }

  running_attempt* Find(std::string_view id) {
    for (running_attempt& attempt : running_) {
      if (attempt.id == id) return &attempt;
    }
    return nullptr;
  }

  void Remove(std::string_view id) {
    std::erase_if(running_, [id](const running_attempt& attempt) {
      return attempt.id == id;
    });
  }

  /// @return ids of all attempts except one
  std::vector<std::string> Others(std::string_view id) const {
    std::vector<std::string> others;
    for (const running_attempt& attempt : running_) {
      if (attempt.id != id) others.push_back(attempt.id);
    }
    return others;
  }

  size_t size() const { return running_.size(); }
  bool empty() const { return running_.empty(); }

 private:
  std::vector<running_attempt> running_;
};

}  // namespace wisteriadale::core
