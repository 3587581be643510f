#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/configuration/configuration.h"

namespace wisteriadale::core {

/// Holds the configuration in force in a process. Its version never decreases.
class configuration_holder {
 public:
  using listener =
      std::function<void(const std::shared_ptr<const configuration>&)>;

  /// Puts a version in force, unless the version in force is equal or higher.
  /// @return false, with LastError set, if the document is invalid; otherwise
  /// true, also if the document was ignored
  bool ReplaceIfNewer(const std::string& document, uint64_t version);

  /// @return the configuration in force, or null if there is none yet
  const std::shared_ptr<const configuration>& current() const {
    return current_;
  }
  /// @return version of the configuration in force, 0 if there is none yet
  uint64_t version() const { return current_ ? current_->version : 0; }

  /// Adds a listener, which is called after each change.
  void OnChange(listener changed) { listeners_.push_back(std::move(changed)); }

 private:
  std::shared_ptr<const configuration> current_;
  std::vector<listener> listeners_;
};

}  // namespace wisteriadale::core
