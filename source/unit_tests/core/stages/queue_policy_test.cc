#include "core/stages/queue_policy.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/random.h"
#include "core/stages/piece_queue.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

using common::milliseconds;

namespace {

constexpr common::time_point kStart{std::chrono::seconds(100)};

core::queue_throughput Throughput(double pieces_per_s) {
  return {pieces_per_s, milliseconds(100), milliseconds(100)};
}

core::waiting_job Job(uint32_t priority, int64_t objective_ms, size_t pieces) {
  core::waiting_job job;
  job.priority = priority;
  job.objective = kStart + milliseconds(objective_ms);
  job.pieces = pieces;
  return job;
}

/// Share of the jobs that completed before their objective.
struct served {
  uint32_t asked = 0;
  uint32_t in_time = 0;
  double share() const { return asked == 0 ? 1.0 : 1.0 * in_time / asked; }
};

/// Replays a wave of jobs of two priorities at a pool of 13 targets that run
/// eight pieces a call, through the queue under virtual time.
class wave_replay {
 public:
  wave_replay(const core::queue_policy& policy, uint64_t seed)
      : queue_(Spec(), policy), random_(seed) {
    for (int i = 0; i < 13; ++i) {
      targets_.push_back(std::make_shared<core::fleet_target>());
      targets_.back()->entry.id = "t" + std::to_string(i);
    }
  }

  /// @param overload work that arrives in the wave, of what can be done
  std::array<served, 2> Run(double overload) {
    constexpr milliseconds kLength(12000);
    constexpr milliseconds kStep(5);
    const double usual = 0.75;
    for (milliseconds at(0); at < kLength; at += kStep) {
      now_ = kStart + at;
      const bool wave = at >= milliseconds(3000) && at < milliseconds(6500);
      Arrive((wave ? overload : usual) * kPiecesPerSecond * 0.005);
      EndCalls();
      Collect(queue_.TakeExpired(now_));
      while (std::optional<core::piece_batch> batch =
                 queue_.Next(targets_, now_)) {
        const common::duration took =
            milliseconds(150 + 16 * batch->pieces.size());
        calls_.emplace(now_ + took, call{*batch, took});
      }
    }
    return result_;
  }

 private:
  struct call {
    core::piece_batch batch;
    common::duration took{};
  };
  static constexpr double kPiecesPerSecond = 13 * 8 / 0.278;

  static core::batch_spec Spec() {
    core::batch_spec spec;
    spec.max_pieces = 8;
    spec.call_time = milliseconds(150);
    spec.piece_time = milliseconds(16);
    spec.result_capacity_bytes = 1000000;
    spec.result_lifetime = std::chrono::seconds(4);
    return spec;
  }

  void Arrive(double pieces) {
    due_ += pieces;
    while (due_ > 0) {
      core::stage_job job;
      job.request_id = std::to_string(++jobs_);
      job.origin = "g";
      job.priority = random_.Uniform() < 0.4 ? 0 : 1;
      job.pieces = 1 + static_cast<uint32_t>(random_.Below(5));
      job.result_bytes = 10;
      job.objective = now_ + milliseconds(900);
      job.deadline = now_ + milliseconds(4000);
      due_ -= job.pieces;
      result_.at(job.priority).asked += 1;
      open_[job.request_id] = {job.priority, job.objective};
      queue_.Add(job, now_);
    }
  }
  void EndCalls() {
    while (!calls_.empty() && calls_.begin()->first <= now_) {
      const call ended = calls_.begin()->second;
      calls_.erase(calls_.begin());
      std::vector<core::piece_result> results;
      for (size_t i = 0; i < ended.batch.pieces.size(); ++i) {
        results.push_back({core::piece_outcome::kCompleted,
                           "h" + std::to_string(++handles_)});
      }
      Collect(queue_.OnCallEnd(ended.batch, results, ended.took, now_));
    }
  }
  void Collect(const std::vector<core::stage_job_outcome>& outcomes) {
    for (const core::stage_job_outcome& each : outcomes) {
      queue_.Free(each.handles, now_);
      const auto found = open_.find(each.request_id);
      if (each.origin.empty() || found == open_.end()) continue;
      const bool in_time = each.completed && now_ <= found->second.objective;
      result_.at(found->second.priority).in_time += in_time ? 1 : 0;
      open_.erase(found);
    }
  }

  struct open_job {
    uint32_t priority = 0;
    common::time_point objective;
  };

  core::piece_queue queue_;
  common::seeded_random random_;
  core::target_directory::pool targets_;
  std::multimap<common::time_point, call> calls_;
  std::map<std::string, open_job> open_;
  std::array<served, 2> result_{};
  common::time_point now_;
  double due_ = 0;
  uint64_t jobs_ = 0;
  uint64_t handles_ = 0;
};

}  // namespace

TEST_GROUP(QueuePolicy) {
  core::last_moment_policy last_moment;
  core::least_cost_policy least_cost;
};

TEST(QueuePolicy, NothingIsLateWhileAllFit) {
  std::vector<core::waiting_job> jobs = {Job(0, 1000, 40), Job(1, 1000, 40)};
  least_cost.MarkLate(jobs, Throughput(100), kStart);
  CHECK(!jobs[0].late);
  CHECK(!jobs[1].late);
}

TEST(QueuePolicy, TheLeastUrgentGivesWayHoweverSmall) {
  std::vector<core::waiting_job> jobs = {Job(1, 500, 4), Job(0, 1000, 80)};
  least_cost.MarkLate(jobs, Throughput(100), kStart);
  CHECK(jobs[0].late);
  CHECK(!jobs[1].late);
}

TEST(QueuePolicy, OfOnePriorityTheOneThatNeedsMostGivesWay) {
  std::vector<core::waiting_job> jobs = {Job(0, 600, 60), Job(0, 700, 10),
                                         Job(0, 700, 30), Job(0, 800, 20)};
  least_cost.MarkLate(jobs, Throughput(100), kStart);
  CHECK(jobs[0].late);
  CHECK(!jobs[1].late);
  CHECK(!jobs[2].late);
  CHECK(!jobs[3].late);
}

TEST(QueuePolicy, WorkOfOtherStagesIsKept) {
  std::vector<core::waiting_job> jobs = {Job(0, 700, 50), Job(0, 700, 40)};
  jobs[0].has_inputs = true;
  least_cost.MarkLate(jobs, Throughput(70), kStart);
  CHECK(!jobs[0].late);
  CHECK(jobs[1].late);
}

TEST(QueuePolicy, WithoutAKnownThroughputOnlyTheHopelessAreLate) {
  std::vector<core::waiting_job> jobs = {Job(0, 50, 4), Job(0, 700, 400)};
  least_cost.MarkLate(jobs, Throughput(0), kStart);
  CHECK(jobs[0].late);
  CHECK(!jobs[1].late);
}

// Waves of 1.3 to 2 times of what a pool can do, as with two customers'
// callers.
TEST(QueuePolicy, InAWaveMoreAreServedInTimeAndTheUrgentOnesFirst) {
  for (const double overload : {1.3, 1.6, 2.0}) {
    for (const uint64_t seed : {1, 2, 3}) {
      const std::array<served, 2> before =
          wave_replay(last_moment, seed).Run(overload);
      const std::array<served, 2> after =
          wave_replay(least_cost, seed).Run(overload);
      CHECK(after[0].share() >= before[0].share() - 0.01);
      CHECK(after[1].share() > before[1].share() + 0.03);
      CHECK(after[0].share() > 0.97);
    }
  }
}
