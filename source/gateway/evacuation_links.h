#pragma once

#include <functional>
#include <string>

#include "common/clock.h"
#include "core/fleet/evacuations.h"
#include "core/fleet/gateway_messages.h"
#include "core/fleet/target_directory.h"
#include "gateway/gateway_links.h"

namespace wisteriadale::gateway {

/// Applies evacuations of data centres to the targets, and passes them on
/// between gateways: one that the store does not serve learns of them, too.
class evacuation_links {
 public:
  /// @param reads_for_others whether this gateway reads the store for those of
  /// its data centre, and so passes on what it is told
  evacuation_links(core::evacuations& known, core::target_directory& targets,
                   gateway_links& links, const common::clock& clock,
                   std::function<bool()> reads_for_others);

  void OnMessage(const std::string& gateway,
                 const core::evacuations_message& message);
  /// Tells a gateway that joins what is known here.
  void OnGatewayJoined(const std::string& gateway);

 private:
  void OnChange(const core::evacuation& change);

  core::evacuations& known_;
  core::target_directory& targets_;
  gateway_links& links_;
  const common::clock& clock_;
  std::function<bool()> reads_for_others_;
  std::string source_;  ///< gateway whose message is applied; empty: the store
};

}  // namespace wisteriadale::gateway
