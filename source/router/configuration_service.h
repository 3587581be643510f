#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/configuration/configuration_distributor.h"

namespace wisteriadale::router {

/// Holds the active configuration of this router and applies the changes that
/// operators submit.
class configuration_service {
 public:
  using apply_handler = core::configuration_store::apply_handler;

  configuration_service(core::table& rows, core::object_store& objects,
                        common::timer_service& timers, common::clock& clock,
                        common::random_source& random,
                        core::control_network& network,
                        const core::distribution_options& options)
      : store_(rows, objects, timers, clock, random),
        distributor_(options, store_, holder_, network, timers, clock) {}

  void Start() { distributor_.Start(); }
  /// @return the active configuration, or null before the first
  const std::shared_ptr<const core::configuration>& current() const {
    return holder_.current();
  }
  bool Ready() const { return distributor_.Ready(); }

  /// Submits a document that replaces the expected version; an invalid document
  /// changes nothing.
  void Apply(const core::apply_request& request, const apply_handler& handler);
  /// Submits the active configuration with another preset. There must be an
  /// active configuration.
  void SetPreset(const std::string& preset, core::apply_request request,
                 const apply_handler& handler);
  /// Reads the document of an accepted version.
  /// @param handler receives the document, or nothing when the version is
  /// unknown or cannot be read
  void ReadVersion(uint64_t version,
                   core::configuration_store::document_handler handler);

  core::configuration_holder& holder() { return holder_; }
  core::configuration_store& store() { return store_; }
  core::configuration_distributor& distributor() { return distributor_; }

 private:
  core::configuration_holder holder_;
  core::configuration_store store_;
  core::configuration_distributor distributor_;
};

}  // namespace wisteriadale::router
