#include "gateway/crash_links.h"

#include <utility>

namespace wisteriadale::gateway {
namespace {

// Lowest crash count that a gateway that joins is told. Thousands of suspects
// with a single loss, from each gateway, would fill its link; without them it
// allows one more loss.
constexpr uint32_t kMinPassedCrashes = 2;

}  // namespace

crash_links::crash_links(core::row_store& store, const std::string& table,
                         const core::target_directory& targets,
                         gateway_links& links, common::clock& clock,
                         common::timer_service& timers,
                         std::function<bool()> cleans_for_others)
    : links_(links),
      requests_(core::crash_suspects_options(), clock),
      parts_(core::PartSuspectsOptions(), clock),
      watch_(core::crash_watch_options(), requests_, parts_, targets, clock),
      rows_(core::suspect_rows_options(), store, table, requests_, parts_,
            clock, timers, std::move(cleans_for_others)) {
  for (core::crash_suspects* each : {&requests_, &parts_}) {
    each->SetReportHandler([this](const core::crash_report& report) {
      links_.Broadcast(report);
      rows_.OnChanged(report.digest);
    });
  }
}

void crash_links::OnReport(const core::crash_report& report) {
  (core::IsPartDigest(report.digest) ? parts_ : requests_).Merge(report);
  rows_.OnReportedElsewhere(report);
}

void crash_links::OnGatewayJoined(const std::string& gateway) {
  for (const core::crash_suspects* each : {&requests_, &parts_}) {
    for (const core::crash_report& report : each->Reports(kMinPassedCrashes)) {
      links_.Send(gateway, report);
    }
  }
}

}  // namespace wisteriadale::gateway
