#include "core/stages/queue_policy.h"

#include <algorithm>
#include <initializer_list>
#include <queue>
#include <tuple>
#include <vector>

namespace wisteriadale::core {
namespace {

// The throughput changes all the time; between two decisions, few calls start.
constexpr common::duration kDecisionPeriod = std::chrono::milliseconds(20);

/// Sets the jobs late that cannot meet their objective even if served next.
common::time_point MarkHopeless(std::span<waiting_job> jobs,
                                const queue_throughput& throughput,
                                common::time_point now) {
  common::time_point valid_until = common::time_point::max();
  for (waiting_job& each : jobs) {
    const common::time_point last_start =
        each.objective - throughput.shortest_call;
    each.late = each.late_on_arrival || now > last_start;
    if (!each.late) valid_until = std::min(valid_until, last_start);
  }
  return valid_until;
}

/// Orders jobs by what is lost if they are late: the top of the heap is the
/// first to give way.
struct gives_way_later {
  bool operator()(const waiting_job* left, const waiting_job* right) const {
    return std::tuple(!left->has_inputs, left->pieces, left->objective) <
           std::tuple(!right->has_inputs, right->pieces, right->objective);
  }
};

}  // namespace

const queue_policy& DefaultQueuePolicy() {
  static const last_moment_policy kPolicy;
  return kPolicy;
}

const queue_policy* FindQueuePolicy(std::string_view name) {
  static const least_cost_policy kLeastCost;
  for (const queue_policy* each : std::initializer_list<const queue_policy*>{
           &DefaultQueuePolicy(), &kLeastCost}) {
    if (each->name() == name) return each;
  }
  return nullptr;
}

common::time_point last_moment_policy::MarkLate(
    std::span<waiting_job> jobs, const queue_throughput& throughput,
    common::time_point now) const {
  return MarkHopeless(jobs, throughput, now);
}

common::time_point least_cost_policy::MarkLate(
    std::span<waiting_job> jobs, const queue_throughput& throughput,
    common::time_point now) const {
  const common::time_point hopeless_until = MarkHopeless(jobs, throughput, now);
  if (throughput.pieces_per_s <= 0) return hopeless_until;
  std::vector<waiting_job*> in_sequence;
  for (waiting_job& each : jobs) {
    if (!each.late && each.pieces > 0) in_sequence.push_back(&each);
  }
  std::sort(in_sequence.begin(), in_sequence.end(),
            [](const waiting_job* left, const waiting_job* right) {
              return std::tuple(left->priority, left->objective) <
                     std::tuple(right->priority, right->objective);
            });
  std::priority_queue<waiting_job*, std::vector<waiting_job*>, gives_way_later>
      kept;
  double kept_pieces = 0;   // of this priority
  double ahead_pieces = 0;  // of more urgent ones
  uint32_t priority = 0;
  for (waiting_job* const job : in_sequence) {
    if (job->priority != priority) {
      priority = job->priority;
      ahead_pieces += kept_pieces;
      kept_pieces = 0;
      kept = {};
    }
    kept.push(job);
    kept_pieces += static_cast<double>(job->pieces);
    // The last of the pieces starts when those before it have started.
    const double room = throughput.pieces_per_s *
                        std::chrono::duration<double>(job->objective - now -
                                                      throughput.expected_call)
                            .count();
    while (!kept.empty() &&
           ahead_pieces + kept_pieces - static_cast<double>(job->pieces) >
               std::max(room, 0.0)) {
      waiting_job* const gives_way = kept.top();
      kept.pop();
      gives_way->late = true;
      kept_pieces -= static_cast<double>(gives_way->pieces);
      if (gives_way == job) break;
    }
  }
  return std::min(hopeless_until, now + kDecisionPeriod);
}

}  // namespace wisteriadale::core
