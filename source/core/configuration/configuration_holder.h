#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/configuration/configuration.h"

namespace wisteriadale::core {

/// The configuration in force in a process. It never steps down.
class configuration_holder {
 public:
  using listener =
      std::function<void(const std::shared_ptr<const configuration>&)>;

  /// Puts a version in force, unless an equal or higher one is.
  /// @return whether it is in force now; false with LastReason set when the
  /// document has faults
  bool ReplaceIfNewer(const std::string& document, uint64_t version);

  /// @return the configuration in force, or null before the first
  const std::shared_ptr<const configuration>& current() const {
    return current_;
  }
  /// @return its version, 0 before the first
  uint64_t version() const { return current_ ? current_->version : 0; }

  /// Calls the listener after each change.
  void OnChange(listener changed) { listeners_.push_back(std::move(changed)); }

 private:
  std::shared_ptr<const configuration> current_;
  std::vector<listener> listeners_;
};

}  // namespace wisteriadale::core
