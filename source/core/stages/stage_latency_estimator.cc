#include "core/stages/stage_latency_estimator.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace wisteriadale::core {
namespace {

// Weight of the newest request in the correction factor: it averages over about
// a dozen requests, a tenth of a second of a busy stage.
constexpr double kCorrectionWeight = 0.08;
// A factor beyond these bounds would hide an error of the estimate itself.
constexpr double kMinCorrection = 0.7;
constexpr double kMaxCorrection = 2.0;
// Only requests that are expected to be in time correct an estimate. A factor
// that rejects all requests therefore gets no new outcomes and has to decay,
// over a few of these periods: long enough to last through a burst of a dozen
// calls, short compared with the overload it reacts to.
constexpr common::duration kCorrectionTimeConstant = std::chrono::seconds(2);

common::duration Scale(common::duration unscaled, double factor) {
  return common::duration(
      static_cast<int64_t>(static_cast<double>(unscaled.count()) * factor));
}

common::duration Seconds(double value) {
  // A rate near zero would overflow the duration.
  constexpr double kMaxSeconds = 3600;
  return common::FromSeconds(std::min(value, kMaxSeconds));
}

}  // namespace

void stage_latency_estimator::UpdateLoad(const std::string& service,
                                         const service_load& load) {
  loads_[service] = {load, clock_.Now()};
}

void stage_latency_estimator::AddLocalPieces(const std::string& service,
                                             uint32_t pieces,
                                             uint32_t priority) {
  const auto found = loads_.find(service);
  if (found == loads_.end()) return;
  for (size_t level = PriorityLevel(priority); level < kPriorityLevels;
       ++level) {
    found->second.load.ahead[level] += pieces;
  }
}

const service_load* stage_latency_estimator::FindLoad(
    std::string_view service) const {
  const auto found = loads_.find(service);
  if (found == loads_.end() ||
      clock_.Now() - found->second.at > options_.report_lifetime) {
    return nullptr;
  }
  return &found->second.load;
}

common::duration stage_latency_estimator::CallTime(
    const service_spec& spec, const service_load* load) const {
  if (load != nullptr && load->call_time.count() > 0) return load->call_time;
  const batch_spec& batches = *spec.batches;
  return batches.call_time +
         batches.piece_time * static_cast<int64_t>(batches.max_pieces) / 2;
}

latency_estimate stage_latency_estimator::Estimate(
    const route_table& table, std::span<const stage_spec> stages,
    std::span<const uint32_t> pieces, uint32_t priority) const {
  latency_estimate total;
  std::vector<latency_estimate> completions(stages.size());
  for (size_t i = 0; i < stages.size() && i < pieces.size(); ++i) {
    latency_estimate start;
    for (const uint32_t dependency : stages[i].depends_on) {
      start.in_time = std::max(start.in_time, completions[dependency].in_time);
      start.late = std::max(start.late, completions[dependency].late);
    }
    completions[i] = start;
    const service_spec* spec = table.FindService(stages[i].service);
    if (pieces[i] == 0 || spec == nullptr || !spec->batches) continue;
    const service_load* load = FindLoad(stages[i].service);
    const common::duration call = CallTime(*spec, load);
    common::duration wait(0);
    if (load != nullptr && load->pieces_per_s > 0) {
      // The queue ahead drains while the dependencies are still running.
      const double ahead = load->ahead[PriorityLevel(priority)];
      const common::duration work = Seconds(ahead / load->pieces_per_s);
      wait = std::max(work - start.in_time, common::duration(0));
      const double all = load->ahead.back();
      common::duration queue_time = Seconds(all / load->pieces_per_s);
      if (load->late_pieces > 0) {
        queue_time += Seconds(load->late_pieces / load->late_pieces_per_s);
      }
      completions[i].late = std::max(start.late, queue_time);
    }
    completions[i].in_time +=
        Scale(wait + call, Correction(stages[i].service, priority));
    completions[i].late += call;
    total.in_time = std::max(total.in_time, completions[i].in_time);
    total.late = std::max(total.late, completions[i].late);
  }
  return total;
}

common::duration stage_latency_estimator::EstimateCallTime(
    const route_table& table, const std::string& service) const {
  const service_spec* spec = table.FindService(service);
  if (spec == nullptr || !spec->batches) return common::duration(0);
  return CallTime(*spec, FindLoad(service));
}

common::duration stage_latency_estimator::EstimateCompletion(
    const route_table& table, const std::string& service,
    uint32_t priority) const {
  const service_spec* spec = table.FindService(service);
  if (spec == nullptr || !spec->batches) return common::duration(0);
  const service_load* load = FindLoad(service);
  common::duration time = CallTime(*spec, load);
  if (load != nullptr && load->pieces_per_s > 0) {
    time += Seconds(load->ahead[PriorityLevel(priority)] / load->pieces_per_s);
  }
  return Scale(time, Correction(service, priority));
}

double stage_latency_estimator::DecayedCorrection(
    const correction& stored) const {
  const double age = std::chrono::duration<double>(clock_.Now() - stored.at) /
                     std::chrono::duration<double>(kCorrectionTimeConstant);
  return 1.0 + (stored.value - 1.0) * std::exp(-age);
}

double stage_latency_estimator::Correction(std::string_view service,
                                           uint32_t priority) const {
  const auto found = corrections_.find(service);
  return found == corrections_.end()
             ? 1.0
             : DecayedCorrection(found->second[PriorityLevel(priority)]);
}

void stage_latency_estimator::RecordOutcome(const std::string& service,
                                            uint32_t priority,
                                            common::duration estimated,
                                            common::duration took) {
  if (estimated.count() <= 0) return;
  correction& entry = corrections_[service][PriorityLevel(priority)];
  const double previous = DecayedCorrection(entry);
  const double ratio = previous * static_cast<double>(took.count()) /
                       static_cast<double>(estimated.count());
  entry.value = std::clamp(previous + kCorrectionWeight * (ratio - previous),
                           kMinCorrection, kMaxCorrection);
  entry.at = clock_.Now();
}

}  // namespace wisteriadale::core
