#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/configuration/configuration_distributor.h"

namespace wisteriadale::router {

/// The configuration in force in this router, and what operators do to it.
class configuration_service {
 public:
  using apply_handler = core::configuration_store::apply_handler;

  configuration_service(core::table& rows, core::object_store& objects,
                        common::timer_service& timers, common::clock& clock,
                        common::random_source& random,
                        core::control_network& network,
                        const core::distribution_options& options)
      : store_(rows, objects, timers, clock, random),
        spread_(options, store_, holder_, network, timers, clock) {}

  void Start() { spread_.Start(); }
  /// @return the configuration in force, or null before the first
  const std::shared_ptr<const core::configuration>& current() const {
    return holder_.current();
  }
  bool Ready() const { return spread_.Ready(); }

  /// Offers a document in place of a version; a faulty one changes nothing.
  void Apply(const core::apply_request& request, const apply_handler& handler);
  /// Puts another preset in force, in place of the configuration in force.
  void SetPreset(const std::string& preset, core::apply_request request,
                 const apply_handler& handler);
  /// Reads the document of an accepted version.
  /// @param handler takes the document, or nothing when it cannot be had
  void ReadVersion(uint64_t version,
                   core::configuration_store::document_handler handler);

  core::configuration_holder& holder() { return holder_; }
  core::configuration_store& store() { return store_; }
  core::configuration_distributor& spread() { return spread_; }

 private:
  core::configuration_holder holder_;
  core::configuration_store store_;
  core::configuration_distributor spread_;
};

}  // namespace wisteriadale::router
