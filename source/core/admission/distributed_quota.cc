#include "core/admission/distributed_quota.h"

#include <algorithm>

namespace wisteriadale::core {
namespace {

constexpr common::duration kMeasurePeriod = std::chrono::milliseconds(500);
constexpr common::duration kReportAge = std::chrono::seconds(10);
constexpr double kSmoothing = 0.5;
constexpr double kBurstSeconds = 1.0;  ///< tokens kept for a burst
constexpr double kIdleRate = 0.01;     ///< below it an account is dropped

double Seconds(common::duration value) {
  return std::chrono::duration<double>(value).count();
}

}  // namespace

void distributed_quota::SetRouters(size_t routers) {
  routers_ = std::max<size_t>(routers, 1);
}

common::duration distributed_quota::Acquire(std::string_view organisation,
                                            double quota) {
  const common::time_point now = clock_.Now();
  const double rate = quota * Share(organisation);
  const double most = std::max(rate * kBurstSeconds, 1.0);
  const auto [found, added] =
      accounts_.emplace(std::string(organisation), account());
  account& entry = found->second;
  if (added) {
    entry.tokens = most;
    entry.filled = now;
    entry.measured = now;
  }
  ++entry.requests;
  Measure(&entry);
  entry.tokens =
      std::min(most, entry.tokens + rate * Seconds(now - entry.filled));
  entry.filled = now;
  if (entry.tokens >= 1) {
    entry.tokens -= 1;
    return common::duration::zero();
  }
  const double wait_seconds = (1 - entry.tokens) / std::max(rate, 1e-3);
  return common::duration(static_cast<int64_t>(wait_seconds * 1e6) + 1);
}

void distributed_quota::Measure(account* entry) {
  const common::duration past = clock_.Now() - entry->measured;
  if (past < kMeasurePeriod) return;
  const double seen = static_cast<double>(entry->requests) / Seconds(past);
  entry->rate += kSmoothing * (seen - entry->rate);
  entry->measured = clock_.Now();
  entry->requests = 0;
}

double distributed_quota::Share(std::string_view organisation) const {
  const double equal = 1.0 / static_cast<double>(routers_);
  const std::string name(organisation);
  const auto own = accounts_.find(name);
  const double own_rate = own == accounts_.end() ? 0 : own->second.rate;
  double others = 0;
  size_t known = 0;
  for (const auto& [router, report] : peers_) {
    if (clock_.Now() - report.received > kReportAge) continue;
    ++known;
    const auto rate = report.rates.find(name);
    if (rate != report.rates.end()) others += rate->second;
  }
  if (known == 0 || own_rate + others <= 0) return equal;
  // Routers that have not reported may be granting their equal parts.
  const size_t unknown = routers_ > known + 1 ? routers_ - known - 1 : 0;
  const double reserved = static_cast<double>(unknown) * equal;
  // A router with no demand yet keeps a little, to notice when some comes.
  const double part = (1 - reserved) * own_rate / (own_rate + others);
  return std::max(part, equal / 10);
}

void distributed_quota::OnReport(
    std::string_view router, const std::vector<organisation_demand>& demand) {
  if (router == router_) return;
  peer_report report;
  report.received = clock_.Now();
  for (const organisation_demand& entry : demand) {
    report.rates[entry.organisation] = entry.rate;
  }
  peers_[std::string(router)] = std::move(report);
  std::erase_if(peers_, [this](const auto& peer) {
    return clock_.Now() - peer.second.received > kReportAge;
  });
}

std::vector<organisation_demand> distributed_quota::Report() {
  std::vector<organisation_demand> demand;
  for (auto& [organisation, entry] : accounts_) {
    Measure(&entry);
    if (entry.rate >= kIdleRate) demand.push_back({organisation, entry.rate});
  }
  std::erase_if(accounts_, [](const auto& entry) {
    return entry.second.rate < kIdleRate && entry.second.requests == 0;
  });
  return demand;
}

}  // namespace wisteriadale::core
