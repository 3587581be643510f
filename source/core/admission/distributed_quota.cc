#include "core/admission/distributed_quota.h"

#include <algorithm>

namespace wisteriadale::core {
namespace {

constexpr common::duration kMeasurePeriod = std::chrono::milliseconds(500);
/// Age after which a router's report is ignored.
constexpr common::duration kReportLifetime = std::chrono::seconds(10);
constexpr double kSmoothing = 0.5;     ///< EWMA weight of a new rate
constexpr double kBurstSeconds = 1.0;  ///< capacity of a bucket, at its rate
/// Requests per second below which an idle bucket is dropped.
constexpr double kMinRate = 0.01;

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
  const double capacity = std::max(rate * kBurstSeconds, 1.0);
  const auto [found, added] =
      buckets_.emplace(std::string(organisation), bucket());
  bucket& entry = found->second;
  if (added) {
    entry.tokens = capacity;
    entry.refilled = now;
    entry.measured = now;
  }
  ++entry.requests;
  UpdateRate(&entry);
  entry.tokens =
      std::min(capacity, entry.tokens + rate * Seconds(now - entry.refilled));
  entry.refilled = now;
  if (entry.tokens >= 1) {
    entry.tokens -= 1;
    return common::duration::zero();
  }
  const double wait_seconds = (1 - entry.tokens) / std::max(rate, 1e-3);
  return common::duration(static_cast<int64_t>(wait_seconds * 1e6) + 1);
}

void distributed_quota::UpdateRate(bucket* entry) {
  const common::duration elapsed = clock_.Now() - entry->measured;
  if (elapsed < kMeasurePeriod) return;
  const double measured_rate =
      static_cast<double>(entry->requests) / Seconds(elapsed);
  entry->rate += kSmoothing * (measured_rate - entry->rate);
  entry->measured = clock_.Now();
  entry->requests = 0;
}

double distributed_quota::Share(std::string_view organisation) const {
  const double equal_share = 1.0 / static_cast<double>(routers_);
  const std::string name(organisation);
  const auto own = buckets_.find(name);
  const double own_rate = own == buckets_.end() ? 0 : own->second.rate;
  double others = 0;
  size_t known = 0;
  for (const auto& [router, report] : peers_) {
    if (clock_.Now() - report.received > kReportLifetime) continue;
    ++known;
    const auto rate = report.rates.find(name);
    if (rate != report.rates.end()) others += rate->second;
  }
  if (known == 0 || own_rate + others <= 0) return equal_share;
  // A router that has not reported may be granting an equal share.
  const size_t unknown = routers_ > known + 1 ? routers_ - known - 1 : 0;
  const double reserved = static_cast<double>(unknown) * equal_share;
  // A router without demand keeps a small share, to serve the first requests.
  const double share = (1 - reserved) * own_rate / (own_rate + others);
  return std::max(share, equal_share / 10);
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
    return clock_.Now() - peer.second.received > kReportLifetime;
  });
}

std::vector<organisation_demand> distributed_quota::Report() {
  std::vector<organisation_demand> demand;
  for (auto& [organisation, entry] : buckets_) {
    UpdateRate(&entry);
    if (entry.rate >= kMinRate) demand.push_back({organisation, entry.rate});
  }
  std::erase_if(buckets_, [](const auto& entry) {
    return entry.second.rate < kMinRate && entry.second.requests == 0;
  });
  return demand;
}

}  // namespace wisteriadale::core
