#pragma once

#include <functional>
#include <string>

#include "common/clock.h"
#include "core/ports/row_store.h"
#include "core/quarantine/crash_suspects.h"
#include "core/quarantine/crash_watch.h"
#include "core/quarantine/suspect_rows.h"
#include "gateway/gateway_links.h"

namespace wisteriadale::gateway {

/// The counts of requests and of parts of prompts that crash targets: shared
/// with the other gateways, and kept in the store for when all are lost.
class crash_links {
 public:
  /// @param table of the store in which the counts are kept
  /// @param cleans_for_others whether this gateway removes what lost ones left
  crash_links(core::row_store& store, const std::string& table,
              const core::target_directory& targets, gateway_links& links,
              common::clock& clock, common::timer_service& timers,
              std::function<bool()> cleans_for_others);

  /// Reads the counts.
  /// @param on_ready called once they are known, or cannot be read soon
  void Start(std::function<void()> on_ready) {
    rows_.Start(std::move(on_ready));
  }
  /// Writes what has changed lately, as the process is about to stop.
  void BeginStop() { rows_.WriteSoon(); }

  /// Another gateway reported a count.
  void OnReport(const core::crash_report& report);
  /// Tells a gateway that joins the counts.
  void OnGatewayJoined(const std::string& gateway);

  core::crash_suspects& requests() { return requests_; }
  core::crash_suspects& parts() { return parts_; }
  core::crash_watch& watch() { return watch_; }
  const core::suspect_rows& rows() const { return rows_; }

 private:
  gateway_links& links_;
  core::crash_suspects requests_;
  core::crash_suspects parts_;
  core::crash_watch watch_;
  core::suspect_rows rows_;
};

}  // namespace wisteriadale::gateway
