#include "core/fleet/routes_exchange.h"

#include <tuple>

#include "common/event_log.h"

namespace wisteriadale::core {
namespace {

// Parts of the limit for new routes. A read of the store, one request that is
// lost and a second one fit into the limit.
constexpr double kStoreWaitShare = 0.3;
constexpr double kResponseShare = 0.25;

}  // namespace

routes_exchange_options MakeRoutesExchangeOptions(
    common::duration routes_limit) {
  const double limit_s = std::chrono::duration<double>(routes_limit).count();
  return {common::FromSeconds(kStoreWaitShare * limit_s),
          common::FromSeconds(kResponseShare * limit_s)};
}

void routes_exchange::OnAnnounced(const routes_announcement& announcement,
                                  bool store_failing) {
  holder& announced = holders_[announcement.gateway];
  announced.edition = announcement.edition;
  announced.capacity = announcement.capacity;
  announced.announced_at = clock_.Now();
  announced.asked = false;
  DropOutdated();
  if (holders_.empty() || timer_ != 0) return;
  const common::duration wait =
      store_failing ? common::duration(0) : options_.store_wait;
  timer_ = timers_.Schedule(wait, [this] { RequestNext(); });
}

void routes_exchange::DropOutdated() {
  const routes_edition known = std::max(routes_.edition(), refused_);
  std::erase_if(holders_, [known](const auto& entry) {
    return !(known < entry.second.edition);
  });
}

void routes_exchange::RequestNext() {
  timer_ = 0;
  DropOutdated();
  while (!holders_.empty()) {
    const auto chosen = Best();
    const holder& asked = chosen->second;
    const bool sent = request_(chosen->first, asked.edition);
    common::LogEvent(
        common::log_event::kRoutesRequested, "",
        {{"gateway", chosen->first},
         {"version", static_cast<int64_t>(asked.edition.version)},
         {"era", static_cast<int64_t>(asked.edition.era)},
         {"age_ms", common::ToMillis(clock_.Now() - asked.announced_at)},
         {"sent", sent}});
    if (!sent) {
      holders_.erase(chosen);
      continue;
    }
    chosen->second.asked = true;
    timer_ =
        timers_.Schedule(options_.response_limit, [this] { RequestNext(); });
    return;
  }
}

std::map<std::string, routes_exchange::holder>::iterator
routes_exchange::Best() {
  bool all_asked = true;
  for (const auto& [gateway, candidate] : holders_) {
    all_asked = all_asked && candidate.asked;
  }
  auto best = holders_.end();
  std::tuple<routes_edition, double, uint64_t> best_rank;
  for (auto each = holders_.begin(); each != holders_.end(); ++each) {
    if (all_asked) each->second.asked = false;
    if (each->second.asked) continue;
    // Spreads the requests of many gateways over equally large ones.
    const std::tuple<routes_edition, double, uint64_t> rank(
        each->second.edition, each->second.capacity, random_.Next());
    if (best == holders_.end() || rank > best_rank) {
      best = each;
      best_rank = rank;
    }
  }
  return best;
}

}  // namespace wisteriadale::core
