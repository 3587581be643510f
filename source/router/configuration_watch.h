#pragma once

#include <functional>
#include <memory>
#include <string>

#include "common/result_code.h"
#include "core/configuration/configuration.h"
#include "core/ports/object_store.h"
#include "core/ports/table.h"

namespace wisteriadale::router {

/// How an offered configuration fared.
struct apply_answer {
  common::result_code code = common::result_code::kOk;
  std::string reason;
  uint64_t version = 0;  ///< the version that is in force now
};

/// Follows the row `configuration/head` and moves it by compare-and-set.
class configuration_watch {
 public:
  configuration_watch(core::table& rows, core::object_store& objects,
                      common::timer_service& timers,
                      common::duration poll_period)
      : rows_(rows),
        objects_(objects),
        timers_(timers),
        poll_period_(poll_period) {}

  void Start() { Poll(); }
  /// Offers a document in place of a version.
  /// @param expected_version version the operator saw; 0 for none yet
  void Apply(const std::string& document, uint64_t expected_version,
             const std::function<void(const apply_answer&)>& handler);
  /// @return the configuration in force, or null before the first
  const std::shared_ptr<const core::configuration>& current() const {
    return current_;
  }

 private:
  void Poll();
  void OnHead(const core::table_answer& answer);
  void Adopt(const std::string& document, uint64_t version);

  core::table& rows_;
  core::object_store& objects_;
  common::timer_service& timers_;
  common::duration poll_period_;
  std::shared_ptr<const core::configuration> current_;
};

}  // namespace wisteriadale::router
