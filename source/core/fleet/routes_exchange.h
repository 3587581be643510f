#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "common/clock.h"
#include "common/random.h"
#include "core/routes/route_table.h"

namespace wisteriadale::core {

struct routes_exchange_options {
  /// Time for this gateway's own read of the store to bring announced routes.
  common::duration store_wait = std::chrono::milliseconds(500);
  /// Time for a gateway to respond with its routes, before another is asked.
  common::duration response_limit = std::chrono::milliseconds(500);
};

/// Two requests fit into the time within which new routes have to be in force.
/// @param routes_limit time within which new routes have to be in force
routes_exchange_options MakeRoutesExchangeOptions(
    common::duration routes_limit);

/// A gateway that announced the edition of its routes.
struct routes_announcement {
  std::string gateway;
  double capacity = 0;  ///< of its VM, in the same unit for all
  routes_edition edition;
};

/// Fetches routes from other gateways when the store does not deliver them.
/// Gateways announce editions only: hundreds of kilobytes from each gateway to
/// each other one would fill small links for seconds, and delay the news of
/// leaving targets, the store's responses and the pings behind them.
class routes_exchange {
 public:
  /// Asks a gateway for its routes.
  /// @return false if there is no link to it
  using request_sender = std::function<bool(const std::string& gateway,
                                            const routes_edition& edition)>;

  routes_exchange(const routes_exchange_options& options,
                  const route_holder& routes, const common::clock& clock,
                  common::timer_service& timers, common::random_source& random,
                  request_sender request)
      : options_(options),
        routes_(routes),
        clock_(clock),
        timers_(timers),
        random_(random),
        request_(std::move(request)) {}
  ~routes_exchange() { timers_.Cancel(timer_); }
  routes_exchange(const routes_exchange&) = delete;
  routes_exchange& operator=(const routes_exchange&) = delete;

  /// @param store_failing whether this gateway cannot read the store; it then
  /// asks at once
  void OnAnnounced(const routes_announcement& announcement, bool store_failing);
  void OnGatewayLost(const std::string& gateway) { holders_.erase(gateway); }
  /// Routes that a gateway sent are not valid here: they are not requested
  /// again, from any gateway.
  void OnRefused(const routes_edition& edition) {
    refused_ = std::max(refused_, edition);
  }

 private:
  struct holder {
    routes_edition edition;
    double capacity = 0;
    common::time_point announced_at{};
    bool asked = false;
  };

  /// Asks the next gateway, if any has newer routes than those in force.
  void RequestNext();
  /// Forgets gateways whose routes are not newer than those in force, or are
  /// refused.
  void DropOutdated();
  /// @return the gateway to ask next, holders_.end() if there is none
  std::map<std::string, holder>::iterator Best();

  routes_exchange_options options_;
  const route_holder& routes_;
  const common::clock& clock_;
  common::timer_service& timers_;
  common::random_source& random_;
  request_sender request_;
  std::map<std::string, holder> holders_;  ///< with newer routes, by name
  routes_edition refused_;
  common::timer_id timer_ = 0;
};

}  // namespace wisteriadale::core
