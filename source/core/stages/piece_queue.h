#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "core/fleet/target_directory.h"
#include "core/fleet/target_ejection.h"
#include "core/routes/route_table.h"
#include "core/stages/decayed_rate.h"
#include "core/stages/queue_policy.h"
#include "core/stages/result_memory.h"
#include "core/stages/stage_latency_estimator.h"

namespace wisteriadale::core {

/// All pieces of one stage of one request.
struct stage_job {
  std::string request_id;
  std::string origin;  ///< gateway that submitted it
  std::string service;
  std::string organisation;
  uint32_t stage = 0;
  uint32_t pieces = 0;
  std::string key;  ///< the caller's key, if there are no inputs
  std::vector<std::string> inputs;  ///< results of the stages it depends on
  uint64_t result_bytes = 0;        ///< approximate size of one piece's result
  uint32_t priority = 0;            ///< 0 is served first
  bool late = false;                ///< its request cannot meet its objective
  /// The pieces have to complete by then for the request to meet its objective.
  common::time_point objective;
  /// The results are useless after this time.
  common::time_point deadline;
  std::string data_centre;  ///< preferred data centre; empty: any
  /// Input bytes to transfer if it runs in another data centre.
  uint64_t remote_input_bytes = 0;
  std::string digest;  ///< of the request; empty: not known
  /// It may crash targets: its pieces share no call with those of others.
  bool isolated = false;
};

/// Announces a job that will be queued once the stages it depends on complete.
struct upcoming_stage {
  std::string request_id;
  std::string service;
  uint32_t stage = 0;
  uint32_t pieces = 0;
  uint32_t priority = 0;
  common::time_point expires;
};

/// Result of one piece of a call.
enum class piece_outcome {
  kCompleted,
  kExpired,       ///< its deadline had passed when its turn came
  kInputMissing,  ///< an input no longer exists
  kNoRoom,        ///< the target has no memory left for the result
  kError,         ///< the target failed to process it
  kLost,          ///< no response to the call
  kNotRun         ///< the target rejected the call
};

/// @return the name used in logs and metrics
std::string_view ToString(piece_outcome outcome);

struct piece_result {
  piece_outcome end = piece_outcome::kLost;
  std::string handle;
};

/// One piece as part of a call.
struct piece_ref {
  std::string request_id;
  uint32_t stage = 0;
  uint32_t piece = 0;
  std::string key;
  std::vector<std::string> inputs;
  uint64_t result_bytes = 0;
  common::time_point deadline;
  std::string digest;
};

/// The pieces of one call to a target.
struct piece_batch {
  std::shared_ptr<fleet_target> target;
  std::vector<piece_ref> pieces;
  common::duration expected{0};  ///< estimated duration of the call
};

/// Final result of a job, or of a duplicate of one of its pieces.
struct stage_job_outcome {
  std::string request_id;
  std::string origin;  ///< gateway that submitted the job; empty: no job ended
  uint32_t stage = 0;
  bool completed = false;
  piece_outcome failure = piece_outcome::kCompleted;
  /// Results in the order of the pieces if the job completed; otherwise results
  /// that have to be released.
  std::vector<std::string> handles;
};

/// Queues the pieces for the targets of one service and groups them into
/// batches. A call takes whatever is queued when a target becomes free: batches
/// fill up under load, and no job waits for more to arrive.
///
/// Meant for targets that run one call at a time, with a fixed cost per call
/// that exceeds the cost of a piece; it receives the pieces of all gateways.
class piece_queue {
 public:
  /// @param policy has to outlive the queue
  explicit piece_queue(const batch_spec& spec,
                       const queue_policy& policy = DefaultQueuePolicy());

  void SetSpec(const batch_spec& spec) {
    spec_ = spec;
    memory_.SetSpec(spec);
  }
  const batch_spec& spec() const { return spec_; }

  /// Queues a job. Replaces a queued job of the same request and stage.
  void Add(const stage_job& job, common::time_point now);
  /// Registers a job that will be queued later, so that Load counts it.
  void Announce(const upcoming_stage& upcoming);
  /// Removes all jobs of a request.
  /// @return handles of the results that were already produced for it
  std::vector<std::string> Cancel(std::string_view request_id);
  /// @return the requests whose jobs a gateway submitted
  std::set<std::string> RequestsFrom(std::string_view gateway) const;
  /// Returns the capacity of results that their targets have released.
  void Free(std::span<const std::string> handles, common::time_point now);

  /// @return the next call to start now, if any; its pieces leave the queue
  std::optional<piece_batch> Next(const target_directory::pool& targets,
                                  common::time_point now);
  /// @param took time since the call started
  /// @return whether a running call takes much longer than estimated
  static bool IsOverdue(const piece_batch& batch, common::duration took);
  /// @return the time after which a call counts as lost
  static common::duration CallTimeout(const piece_batch& batch);
  /// Queues the pieces of an overdue call again. The first result of
  /// each piece is used.
  /// @param took time since the call started
  void OnOverdue(const piece_batch& batch, common::duration took);
  /// Keeps the jobs of a call that was lost from sharing another: one of them
  /// may have crashed its target, and the others are not to be lost with it
  /// again.
  void Isolate(const piece_batch& batch);
  /// Removes the jobs of a request that is refused.
  /// @return those jobs, as failed
  std::vector<stage_job_outcome> Fail(std::string_view digest);
  /// Removes the jobs with pieces that are in no call, as no target will take
  /// them.
  /// @return those jobs, as failed
  std::vector<stage_job_outcome> FailPending();
  /// Handles the end of a call.
  /// @param results one for each piece of the batch; missing ones count as lost
  /// @param took    duration of the call
  /// @return jobs that ended with this call, and surplus results to release
  std::vector<stage_job_outcome> OnCallEnd(
      const piece_batch& batch, std::span<const piece_result> results,
      common::duration took, common::time_point now);
  /// Removes the jobs that can no longer complete before their deadline.
  /// @return those jobs, as expired
  std::vector<stage_job_outcome> TakeExpired(common::time_point now);

  /// @return the load that gateways estimate the latency of a job from
  service_load Load(const target_directory::pool& targets,
                    common::time_point now) const;
  /// Forgets expired results and announcements.
  void DropExpired(common::time_point now);
  /// @return pieces that are in no call
  size_t queued_pieces() const;
  /// @return jobs that have not ended
  size_t jobs() const { return jobs_.size(); }
  /// @return jobs that were announced and not yet queued
  size_t announced_jobs() const { return upcoming_stages_.size(); }
  /// @return results that are tracked until they are released or expire
  size_t results() const { return memory_.size(); }
  /// @return calls in progress
  size_t calls() const { return calls_; }

 private:
  struct queued_job {
    stage_job job;
    std::vector<uint32_t> pending_pieces;  ///< in no call, or in an overdue one
    std::vector<std::string> handles;
    uint32_t completed_pieces = 0;
    uint32_t failures = 0;
    common::time_point added;
    bool is_late = false;  ///< as of the last Sort
  };
  using job_list = std::vector<std::unique_ptr<queued_job>>;

  std::vector<stage_job_outcome> FailIf(
      const std::function<bool(const queued_job&)>& fails);
  bool IsFree(const fleet_target& target, common::time_point now) const;
  /// @return whether the queue drains sooner on the other targets than a call
  /// to this slow one takes
  bool IsTooSlow(const fleet_target& target, common::time_point now) const;
  /// @param ratio duration of a call over its estimate
  static void UpdateSlowness(fleet_target* target, double ratio);
  /// @param data_centre restricts the choice; empty: any
  /// @return whether a target is to be preferred to another: it is faster, or
  /// as fast and has more memory left
  bool IsBetter(const fleet_target& target, const fleet_target& other) const;
  /// @return the best target that can take a call now, or null
  std::shared_ptr<fleet_target> BestFreeTarget(
      const target_directory::pool& targets, const std::string& data_centre,
      common::time_point now) const;
  /// @return whether a job still waits for a target in its own data centre
  /// rather than run in `data_centre`
  bool WaitsForDataCentre(const queued_job& queued,
                          const std::string& data_centre,
                          common::time_point now) const;
  /// @return the time between the starts of evenly spaced calls. Without it,
  /// targets that become free together would each take a small batch, and the
  /// next pieces would wait for all of them.
  common::duration CallInterval(const target_directory::pool& targets,
                                common::time_point now) const;
  bool IsLate(const queued_job& queued, common::time_point now) const;
  queue_throughput Throughput() const;
  static constexpr double kNoSlownessLimit =
      std::numeric_limits<double>::infinity();
  /// @param max_slowness slower targets are not counted
  /// @return throughput of the targets with full batches, as far as their
  /// memory allows
  double PiecesPerSecond(const target_directory::pool& targets,
                         double max_slowness, common::time_point now) const;
  /// @param rate throughput of the targets, in pieces per second
  /// @return the part of it that is left for late jobs
  double LateRate(double rate, common::time_point now) const;
  /// Sorts the jobs by the sequence in which they are served, if it may have
  /// changed.
  void Sort(common::time_point now);
  /// Fills a batch with the jobs that prefer the target's data centre, then
  /// with others.
  void Fill(piece_batch* batch, common::time_point now);
  /// Moves pieces of a job into a batch.
  /// @param may_split whether the batch may take a part of the job
  /// @param capacity  result capacity left on the target, in bytes; reduced
  void AddPieces(queued_job* from, bool may_split, piece_batch* batch,
                 uint64_t* capacity);
  /// Updates the state of the target and the call statistics.
  void RecordCall(const piece_batch& batch,
                  std::span<const piece_result> results, common::duration took,
                  common::time_point now);
  /// @param queued may be null
  /// @return whether the job still lacks the result of a piece
  static bool NeedsPiece(const queued_job* queued, uint32_t piece);
  /// @param since start of the call
  /// @return the outcome of the job if it ended, or a surplus result to release
  std::optional<stage_job_outcome> OnCompleted(const piece_ref& ref,
                                               const std::string& handle,
                                               const std::string& target_id,
                                               common::time_point since,
                                               common::time_point now);
  /// @return the outcome of the job if it failed for good
  std::optional<stage_job_outcome> OnNotCompleted(const piece_ref& ref,
                                                  piece_outcome outcome);
  /// Removes a job.
  /// @return handles of the results that were already produced for it
  std::vector<std::string> Remove(std::string_view request_id, uint32_t stage);
  queued_job* FindJob(std::string_view request_id, uint32_t stage);
  /// @return estimated duration of a call with this many pieces
  common::duration CallTime(size_t pieces) const {
    return spec_.call_time + spec_.piece_time * static_cast<int64_t>(pieces);
  }

  batch_spec spec_;
  const queue_policy* policy_;
  target_ejection ejection_;
  job_list jobs_;
  std::unordered_map<std::string, uint32_t> calls_by_target_;
  result_memory memory_;
  /// Announced jobs, by request and stage.
  std::map<std::pair<std::string, uint32_t>, upcoming_stage> upcoming_stages_;
  decayed_rate in_time_rate_;  ///< pieces of jobs that were in time when queued
  common::duration smoothed_call_time_{0};
  double total_rate_ = 0;   ///< pieces per second of all usable targets
  double normal_rate_ = 0;  ///< the same without slow targets
  common::time_point last_call_start_{};
  bool sorted_ = false;
  common::time_point sort_valid_until_{};  ///< the next job turns late then
  common::time_point last_expiry_check_{};
  size_t calls_ = 0;
};

}  // namespace wisteriadale::core
