#include "gateway/operator_pages.h"

#include <string>
#include <vector>

#include "common/metrics.h"

namespace wisteriadale::gateway {

void operator_pages::UpdateMetrics() const {
  common::metric_registry& metrics = common::Metrics();
  const auto set = [&metrics](std::string_view name, auto value) {
    metrics.Set(name, static_cast<double>(value));
  };
  set("wisteria_gateways_linked", sources_.links.LinkedGatewayCount());
  set("wisteria_link_bytes_pending", sources_.links.PendingBytes());
  set("wisteria_store_reader", sources_.reads_store() ? 1 : 0);
  set("wisteria_targets_age_ms", common::ToMillis(sources_.fleet.TargetsAge()));
  set("wisteria_crash_watches", sources_.crashes.watch().size());
  set("wisteria_suspect_rows", sources_.crashes.rows().size());
  core::SetMemoryMetrics(sources_.memory);
  sources_.buffers.SetMetrics();
  common::SetUsageMetrics(sources_.usage());
}

void operator_pages::Handle(
    const std::shared_ptr<net::http1_exchange>& exchange) const {
  const std::string& path = exchange->head().target;
  if (path == "/readyz") {
    const bool ready = sources_.ready();
    exchange->Send(ready ? 200 : 503, ready ? "OK" : "Service Unavailable", {},
                   ready ? "ready\n" : "not ready\n");
  } else if (path == "/metrics") {
    UpdateMetrics();
    const std::vector<net::http_header> headers = {
        {"Content-Type", "text/plain; version=0.0.4"}};
    exchange->Send(200, "OK", headers, common::Metrics().PrometheusText());
  } else if (path == "/healthz") {
    exchange->Send(200, "OK", {}, "ok\n");
  } else {
    exchange->Send(404, "Not Found", {}, "");
  }
}

}  // namespace wisteriadale::gateway
