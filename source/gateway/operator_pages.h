#pragma once

#include <functional>
#include <memory>

#include "common/process_usage.h"
#include "core/fleet/fleet_sync.h"
#include "core/overload/memory_account.h"
#include "gateway/crash_links.h"
#include "gateway/gateway_links.h"
#include "net/http1_server.h"
#include "net/receive_buffers.h"

namespace wisteriadale::gateway {

/// What the pages for operators show.
struct operator_sources {
  const gateway_links& links;
  const core::fleet_sync& fleet;
  crash_links& crashes;
  const core::memory_account& memory;
  const net::receive_buffers& buffers;
  std::function<bool()> ready;
  std::function<bool()> reads_store;  ///< for its data centre
  std::function<common::process_usage()> usage;
};

/// Serves readiness, health and metrics to operators.
class operator_pages {
 public:
  explicit operator_pages(operator_sources sources)
      : sources_(std::move(sources)) {}

  void Handle(const std::shared_ptr<net::http1_exchange>& exchange) const;

 private:
  /// Sets the metrics that are only looked up when they are asked for.
  void UpdateMetrics() const;

  operator_sources sources_;
};

}  // namespace wisteriadale::gateway
