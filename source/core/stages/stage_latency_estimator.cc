#include "core/stages/stage_latency_estimator.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace wisteriadale::core {
namespace {

// Weight of the newest request in the correction of the estimates: a dozen
// requests, a tenth of a second of a busy stage.
constexpr double kCorrectionWeight = 0.08;
// A correction beyond these would hide a fault of the estimate.
constexpr double kLeastCorrection = 0.7;
constexpr double kMostCorrection = 2.0;
// Only requests that are expected in time correct an estimate. If it keeps all
// of them out, it falls back within some times this: long enough to hold over a
// burst's dozen calls, short beside the trouble that it answers.
constexpr common::duration kCorrectionMemory = std::chrono::seconds(2);

common::duration Scale(common::duration of, double by) {
  return common::duration(
      static_cast<int64_t>(static_cast<double>(of.count()) * by));
}

common::duration Seconds(double value) {
  // A rate close to nothing would not fit.
  constexpr double kLongest = 3600;
  return common::FromSeconds(std::min(value, kLongest));
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

const service_load* stage_latency_estimator::Find(
    std::string_view service) const {
  const auto found = loads_.find(service);
  if (found == loads_.end() ||
      clock_.Now() - found->second.at > options_.report_life) {
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
  std::vector<latency_estimate> ends(stages.size());
  for (size_t i = 0; i < stages.size() && i < pieces.size(); ++i) {
    latency_estimate begin;
    for (const uint32_t before : stages[i].depends_on) {
      begin.in_time = std::max(begin.in_time, ends[before].in_time);
      begin.late = std::max(begin.late, ends[before].late);
    }
    ends[i] = begin;
    const service_spec* spec = table.FindService(stages[i].service);
    if (pieces[i] == 0 || spec == nullptr || !spec->batches) continue;
    const service_load* load = Find(stages[i].service);
    const common::duration call = CallTime(*spec, load);
    common::duration wait(0);
    if (load != nullptr && load->pieces_per_s > 0) {
      // What is ahead is worked on while the stages before are made.
      const double ahead = load->ahead[PriorityLevel(priority)];
      const common::duration work = Seconds(ahead / load->pieces_per_s);
      wait = std::max(work - begin.in_time, common::duration(0));
      const double all = load->ahead.back();
      common::duration turn = Seconds(all / load->pieces_per_s);
      if (load->late_pieces > 0) {
        turn += Seconds(load->late_pieces / load->late_pieces_per_s);
      }
      ends[i].late = std::max(begin.late, turn);
    }
    ends[i].in_time +=
        Scale(wait + call, Correction(stages[i].service, priority));
    ends[i].late += call;
    total.in_time = std::max(total.in_time, ends[i].in_time);
    total.late = std::max(total.late, ends[i].late);
  }
  return total;
}

common::duration stage_latency_estimator::EstimateCallTime(
    const route_table& table, const std::string& service) const {
  const service_spec* spec = table.FindService(service);
  if (spec == nullptr || !spec->batches) return common::duration(0);
  return CallTime(*spec, Find(service));
}

common::duration stage_latency_estimator::EstimateCompletion(
    const route_table& table, const std::string& service,
    uint32_t priority) const {
  const service_spec* spec = table.FindService(service);
  if (spec == nullptr || !spec->batches) return common::duration(0);
  const service_load* load = Find(service);
  common::duration time = CallTime(*spec, load);
  if (load != nullptr && load->pieces_per_s > 0) {
    time += Seconds(load->ahead[PriorityLevel(priority)] / load->pieces_per_s);
  }
  return Scale(time, Correction(service, priority));
}

double stage_latency_estimator::Current(const correction& of) const {
  const double age = std::chrono::duration<double>(clock_.Now() - of.at) /
                     std::chrono::duration<double>(kCorrectionMemory);
  return 1.0 + (of.value - 1.0) * std::exp(-age);
}

double stage_latency_estimator::Correction(std::string_view service,
                                           uint32_t priority) const {
  const auto found = corrections_.find(service);
  return found == corrections_.end()
             ? 1.0
             : Current(found->second[PriorityLevel(priority)]);
}

void stage_latency_estimator::RecordOutcome(const std::string& service,
                                            uint32_t priority,
                                            common::duration estimated,
                                            common::duration took) {
  if (estimated.count() <= 0) return;
  correction& noted = corrections_[service][PriorityLevel(priority)];
  const double before = Current(noted);
  const double ratio = before * static_cast<double>(took.count()) /
                       static_cast<double>(estimated.count());
  noted.value = std::clamp(before + kCorrectionWeight * (ratio - before),
                           kLeastCorrection, kMostCorrection);
  noted.at = clock_.Now();
}

}  // namespace wisteriadale::core
