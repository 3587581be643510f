#include "core/stages/piece_queue.h"

#include <algorithm>

namespace wisteriadale::core {
namespace {

// A job fails once its pieces have failed more often than this, in all. The
// limit allows for two targets that crash at the same time.
constexpr uint32_t kMaxFailures = 3;
// Weight of the newest call in a target's smoothed slowness: three slow calls
// mark a target as slow.
constexpr double kSlownessWeight = 0.3;
// Targets above this ratio count as slow. Calls that fetch large inputs take
// up to 1.3 times their estimate.
constexpr double kMaxNormalSlowness = 1.6;
// A slow target is tried again after this time, which is a few calls of the
// other targets.
constexpr common::duration kSlowTargetRetryInterval =
    std::chrono::milliseconds(1500);
// A call is overdue after this many times its estimate plus the margin: normal
// calls stay below 1.3 times their estimate.
constexpr int kOverdueFactor = 2;
constexpr common::duration kOverdueMargin = std::chrono::milliseconds(50);
// A call counts as lost after this many times its estimate plus the margin:
// slow targets take five times as long.
constexpr int kCallTimeoutFactor = 5;
constexpr common::duration kCallTimeoutMargin = std::chrono::milliseconds(200);
// Results and announcements live for seconds, and a check for expired ones
// costs time linear in their number.
constexpr common::duration kExpiryCheckInterval = std::chrono::milliseconds(50);
// Time constant of the rate of pieces in time: several calls, and well below
// the few seconds that a burst lasts.
constexpr common::duration kRateTimeConstant = std::chrono::seconds(1);
// Divisor of the moving average of call times: the newest call weighs 1/8.
constexpr int kCallTimeSmoothing = 8;
// Inputs of this many bytes are worth a wait for a target in their data centre:
// a stage's results for one request are either 0.5 MB and more or far smaller.
// The wait is a full call at most, after which a target there has become free,
// and a third of the job's slack.
constexpr uint64_t kLargeInputBytes = 500000;
constexpr int kSlackDivisor = 3;

// Targets of pieces run one call of about 200 ms at a time. After a lost call
// they are ejected for longer than targets that run many requests, and after a
// rejection they are avoided for less time.
target_ejection_options EjectionOptions() {
  target_ejection_options options;
  options.base_ejection_time = std::chrono::milliseconds(500);
  options.max_doublings = 3;
  options.overload_pause = std::chrono::milliseconds(60);
  return options;
}

void AppendHandles(const std::vector<std::string>& handles,
                   std::vector<std::string>* to) {
  for (const std::string& handle : handles) {
    if (!handle.empty()) to->push_back(handle);
  }
}

uint64_t ResultBytes(const piece_batch& batch) {
  uint64_t bytes = 0;
  for (const piece_ref& piece : batch.pieces) bytes += piece.result_bytes;
  return bytes;
}

call_memory_use MemoryUse(const piece_batch& batch,
                          std::span<const piece_result> results) {
  call_memory_use use;
  use.bytes = ResultBytes(batch);
  use.denied =
      std::any_of(results.begin(), results.end(), [](const piece_result& each) {
        return each.end == piece_outcome::kNoRoom;
      });
  return use;
}

}  // namespace

std::string_view ToString(piece_outcome outcome) {
  constexpr std::string_view kNames[] = {"made",  "late", "gone",   "room",
                                         "error", "lost", "not_run"};
  return kNames[static_cast<size_t>(outcome)];
}

piece_queue::piece_queue(const batch_spec& spec, const queue_policy& policy)
    : spec_(spec),
      policy_(&policy),
      ejection_(EjectionOptions()),
      in_time_rate_(kRateTimeConstant) {
  memory_.SetSpec(spec);
}

void piece_queue::Add(const stage_job& job, common::time_point now) {
  Remove(job.request_id, job.stage);
  upcoming_stages_.erase({job.request_id, job.stage});
  std::unique_ptr<queued_job> queued = std::make_unique<queued_job>();
  queued->job = job;
  queued->added = now;
  queued->handles.resize(job.pieces);
  if (!IsLate(*queued, now)) in_time_rate_.Add(job.pieces, now);
  for (uint32_t i = 0; i < job.pieces; ++i) queued->pending_pieces.push_back(i);
  jobs_.push_back(std::move(queued));
  sorted_ = false;
}

void piece_queue::Announce(const upcoming_stage& upcoming) {
  upcoming_stages_[{upcoming.request_id, upcoming.stage}] = upcoming;
}

std::vector<std::string> piece_queue::Cancel(std::string_view request_id) {
  const std::string id(request_id);
  auto upcoming = upcoming_stages_.lower_bound({id, 0});
  while (upcoming != upcoming_stages_.end() && upcoming->first.first == id) {
    upcoming = upcoming_stages_.erase(upcoming);
  }
  std::vector<std::string> produced;
  std::erase_if(jobs_, [&](const std::unique_ptr<queued_job>& each) {
    if (each->job.request_id != request_id) return false;
    AppendHandles(each->handles, &produced);
    return true;
  });
  return produced;
}

std::vector<std::string> piece_queue::Remove(std::string_view request_id,
                                             uint32_t stage) {
  std::vector<std::string> produced;
  std::erase_if(jobs_, [&](const std::unique_ptr<queued_job>& each) {
    if (each->job.stage != stage || each->job.request_id != request_id) {
      return false;
    }
    AppendHandles(each->handles, &produced);
    return true;
  });
  return produced;
}

std::set<std::string> piece_queue::RequestsFrom(
    std::string_view gateway) const {
  std::set<std::string> requests;
  for (const std::unique_ptr<queued_job>& each : jobs_) {
    if (each->job.origin == gateway) requests.insert(each->job.request_id);
  }
  return requests;
}

void piece_queue::Free(std::span<const std::string> handles,
                       common::time_point now) {
  memory_.Free(handles, now);
}

size_t piece_queue::queued_pieces() const {
  size_t pieces = 0;
  for (const std::unique_ptr<queued_job>& each : jobs_) {
    pieces += each->pending_pieces.size();
  }
  return pieces;
}

bool piece_queue::IsTooSlow(const fleet_target& target,
                            common::time_point now) const {
  if (target.slowness <= kMaxNormalSlowness || normal_rate_ <= 0) return false;
  // A slow target is tried again from time to time: it may have recovered.
  if (now - target.slowness_updated > kSlowTargetRetryInterval) return false;
  const size_t queued = queued_pieces();
  const double call = static_cast<double>(
      CallTime(std::min<size_t>(queued, spec_.max_pieces)).count());
  const double wait = static_cast<double>(
      common::FromSeconds(static_cast<double>(queued) / normal_rate_).count());
  return call * target.slowness > wait + call;
}

void piece_queue::UpdateSlowness(fleet_target* target, double ratio) {
  target->slowness += kSlownessWeight * (ratio - target->slowness);
  if (target->slowness < kMaxNormalSlowness && ratio < kMaxNormalSlowness) {
    target->slowness = 1.0;
  }
}

void piece_queue::OnOverdue(const piece_batch& batch, common::duration took) {
  const double ratio =
      static_cast<double>(took.count()) /
      std::max(1.0, static_cast<double>(batch.expected.count()));
  batch.target->slowness = std::max(batch.target->slowness, ratio);
  for (const piece_ref& ref : batch.pieces) {
    queued_job* queued = FindJob(ref.request_id, ref.stage);
    if (!NeedsPiece(queued, ref.piece)) continue;
    if (std::find(queued->pending_pieces.begin(), queued->pending_pieces.end(),
                  ref.piece) == queued->pending_pieces.end()) {
      queued->pending_pieces.push_back(ref.piece);
    }
  }
}

bool piece_queue::IsOverdue(const piece_batch& batch, common::duration took) {
  return took >= batch.expected * kOverdueFactor + kOverdueMargin;
}

common::duration piece_queue::CallTimeout(const piece_batch& batch) {
  return batch.expected * kCallTimeoutFactor + kCallTimeoutMargin;
}

bool piece_queue::IsFree(const fleet_target& target,
                         common::time_point now) const {
  if (!target.Usable(now) || target.overloaded_until > now) return false;
  if (IsTooSlow(target, now)) return false;
  const auto calls = calls_by_target_.find(target.entry.id);
  return calls == calls_by_target_.end() || calls->second < spec_.slots;
}

bool piece_queue::IsBetter(const fleet_target& target,
                           const fleet_target& other) const {
  if (target.slowness != other.slowness) {
    return target.slowness < other.slowness;
  }
  return memory_.Left(target.entry.id) > memory_.Left(other.entry.id);
}

std::shared_ptr<fleet_target> piece_queue::BestFreeTarget(
    const target_directory::pool& targets, const std::string& data_centre,
    common::time_point now) const {
  std::shared_ptr<fleet_target> best;
  for (const std::shared_ptr<fleet_target>& each : targets) {
    if (!data_centre.empty() && each->entry.data_centre != data_centre) {
      continue;
    }
    if (!IsFree(*each, now)) continue;
    if (!best || IsBetter(*each, *best)) best = each;
  }
  return best;
}

bool piece_queue::WaitsForDataCentre(const queued_job& queued,
                                     const std::string& data_centre,
                                     common::time_point now) const {
  const stage_job& job = queued.job;
  if (job.data_centre.empty() || job.data_centre == data_centre) {
    return false;
  }
  if (job.remote_input_bytes < kLargeInputBytes) return false;
  const common::duration slack =
      job.objective - queued.added - CallTime(spec_.max_pieces);
  const common::duration wait =
      std::min(CallTime(spec_.max_pieces),
               std::max(slack, common::duration(0)) / kSlackDivisor);
  return now < queued.added + wait;
}

bool piece_queue::IsLate(const queued_job& queued,
                         common::time_point now) const {
  return queued.job.late || now + CallTime(1) > queued.job.objective;
}

void piece_queue::Sort(common::time_point now) {
  if (sorted_ && now < sort_valid_until_) return;
  sorted_ = true;
  std::vector<waiting_job> waiting;
  waiting.reserve(jobs_.size());
  for (const std::unique_ptr<queued_job>& each : jobs_) {
    waiting.push_back({each->job.priority, each->job.objective,
                       each->pending_pieces.size(), each->job.late,
                       !each->job.inputs.empty()});
  }
  sort_valid_until_ = policy_->MarkLate(waiting, Throughput(), now);
  for (size_t i = 0; i < jobs_.size(); ++i) jobs_[i]->is_late = waiting[i].late;
  std::stable_sort(jobs_.begin(), jobs_.end(),
                   [](const std::unique_ptr<queued_job>& left,
                      const std::unique_ptr<queued_job>& right) {
                     if (left->is_late != right->is_late) {
                       return right->is_late;
                     }
                     // Jobs that only turned late in the queue go before those
                     // that were late on arrival: other stages have already
                     // been run for them.
                     if (left->job.late != right->job.late) {
                       return right->job.late;
                     }
                     if (left->job.priority != right->job.priority) {
                       return left->job.priority < right->job.priority;
                     }
                     return left->job.objective < right->job.objective;
                   });
}

void piece_queue::AddPieces(queued_job* from, bool may_split,
                            piece_batch* batch, uint64_t* capacity) {
  const size_t left = spec_.max_pieces - batch->pieces.size();
  size_t taken = std::min(from->pending_pieces.size(), left);
  const uint64_t bytes = std::max<uint64_t>(1, from->job.result_bytes);
  taken = std::min(taken, static_cast<size_t>(*capacity / bytes));
  // A split job needs two calls. It is split only if it does not fit into one,
  // or if the queue fills more than this call.
  const bool split = taken < from->pending_pieces.size();
  if (taken == 0 || (split && !may_split && !batch->pieces.empty())) return;
  for (size_t i = 0; i < taken; ++i) {
    batch->pieces.push_back({from->job.request_id, from->job.stage,
                             from->pending_pieces[i], from->job.key,
                             from->job.inputs, from->job.result_bytes,
                             from->job.deadline, from->job.digest});
  }
  from->pending_pieces.erase(
      from->pending_pieces.begin(),
      from->pending_pieces.begin() + static_cast<ptrdiff_t>(taken));
  *capacity -= taken * from->job.result_bytes;
}

void piece_queue::Fill(piece_batch* batch, common::time_point now) {
  const std::string& data_centre = batch->target->entry.data_centre;
  uint64_t capacity = memory_.Left(batch->target->entry.id);
  const bool may_split = queued_pieces() > spec_.max_pieces;
  for (const bool match : {true, false}) {
    for (const std::unique_ptr<queued_job>& each : jobs_) {
      if (batch->pieces.size() >= spec_.max_pieces) return;
      const std::string& preferred = each->job.data_centre;
      const bool matches = preferred.empty() || preferred == data_centre;
      if (each->pending_pieces.empty() || matches != match) continue;
      if (each->job.isolated) continue;
      if (WaitsForDataCentre(*each, data_centre, now)) continue;
      AddPieces(each.get(), may_split, batch, &capacity);
    }
  }
}

std::optional<piece_batch> piece_queue::Next(
    const target_directory::pool& targets, common::time_point now) {
  DropExpired(now);
  total_rate_ = PiecesPerSecond(targets, kNoSlownessLimit, now);
  normal_rate_ = PiecesPerSecond(targets, kMaxNormalSlowness, now);
  const size_t queued = queued_pieces();
  if (queued == 0) return std::nullopt;
  if (queued < spec_.max_pieces &&
      now < last_call_start_ + CallInterval(targets, now)) {
    return std::nullopt;
  }
  const bool any_free =
      std::any_of(targets.begin(), targets.end(),
                  [&](const std::shared_ptr<fleet_target>& each) {
                    return IsFree(*each, now);
                  });
  if (!any_free) return std::nullopt;
  Sort(now);
  piece_batch batch;
  // The first job that can start determines the target.
  for (const std::unique_ptr<queued_job>& each : jobs_) {
    if (each->pending_pieces.empty()) continue;
    batch.target = BestFreeTarget(targets, each->job.data_centre, now);
    if (!batch.target && !WaitsForDataCentre(*each, "", now)) {
      batch.target = BestFreeTarget(targets, "", now);
    }
    if (!batch.target) continue;
    if (each->job.isolated) {
      uint64_t capacity = memory_.Left(batch.target->entry.id);
      AddPieces(each.get(), true, &batch, &capacity);
    } else {
      Fill(&batch, now);
    }
    if (!batch.pieces.empty()) break;
  }
  if (batch.pieces.empty()) return std::nullopt;
  batch.expected = CallTime(batch.pieces.size());
  const std::string& target_id = batch.target->entry.id;
  memory_.OnCallStart(target_id, ResultBytes(batch), now);
  calls_by_target_[target_id] += 1;
  batch.target->in_flight += 1;
  calls_ += 1;
  last_call_start_ = now;
  return batch;
}

common::duration piece_queue::CallInterval(
    const target_directory::pool& targets, common::time_point now) const {
  const int64_t usable =
      std::count_if(targets.begin(), targets.end(),
                    [now](const std::shared_ptr<fleet_target>& each) {
                      return each->Usable(now);
                    });
  if (usable == 0 || calls_ == 0) return common::duration(0);
  return smoothed_call_time_ / (usable * spec_.slots);
}

void piece_queue::Isolate(const piece_batch& batch) {
  for (const piece_ref& ref : batch.pieces) {
    queued_job* queued = FindJob(ref.request_id, ref.stage);
    if (queued != nullptr) queued->job.isolated = true;
  }
}

std::vector<stage_job_outcome> piece_queue::Fail(std::string_view digest) {
  return FailIf(
      [digest](const queued_job& each) { return each.job.digest == digest; });
}

std::vector<stage_job_outcome> piece_queue::FailPending() {
  return FailIf(
      [](const queued_job& each) { return !each.pending_pieces.empty(); });
}

std::vector<stage_job_outcome> piece_queue::FailIf(
    const std::function<bool(const queued_job&)>& fails) {
  std::vector<stage_job_outcome> ended;
  for (const std::unique_ptr<queued_job>& each : jobs_) {
    if (!fails(*each)) continue;
    ended.push_back({each->job.request_id,
                     each->job.origin,
                     each->job.stage,
                     false,
                     piece_outcome::kError,
                     {}});
  }
  for (stage_job_outcome& each : ended) {
    each.handles = Remove(each.request_id, each.stage);
  }
  return ended;
}

std::vector<stage_job_outcome> piece_queue::OnCallEnd(
    const piece_batch& batch, std::span<const piece_result> results,
    common::duration took, common::time_point now) {
  RecordCall(batch, results, took, now);
  std::vector<stage_job_outcome> ended;
  for (size_t i = 0; i < batch.pieces.size(); ++i) {
    const piece_ref& ref = batch.pieces[i];
    const piece_result result =
        i < results.size() ? results[i] : piece_result();
    std::optional<stage_job_outcome> outcome =
        result.end == piece_outcome::kCompleted
            ? OnCompleted(ref, result.handle, batch.target->entry.id,
                          now - took, now)
            : OnNotCompleted(ref, result.end);
    if (outcome) ended.push_back(std::move(*outcome));
  }
  return ended;
}

void piece_queue::RecordCall(const piece_batch& batch,
                             std::span<const piece_result> results,
                             common::duration took, common::time_point now) {
  fleet_target* target = batch.target.get();
  const std::string& target_id = target->entry.id;
  calls_ -= 1;
  target->in_flight -= 1;
  if (--calls_by_target_[target_id] == 0) calls_by_target_.erase(target_id);
  const piece_outcome first =
      results.empty() ? piece_outcome::kLost : results[0].end;
  if (first == piece_outcome::kLost || first == piece_outcome::kNotRun) {
    memory_.OnCallLost(target_id, ResultBytes(batch));
  }
  if (first == piece_outcome::kLost) {
    ejection_.OnLost(target, now);
    return;
  }
  if (first == piece_outcome::kNotRun) {
    ejection_.OnOverloaded(target, now);
    return;
  }
  const call_memory_use use = MemoryUse(batch, results);
  memory_.OnCallEnd(target_id, use, now);
  ejection_.OnSuccess(target);
  if (use.denied) {
    // Its duration says nothing: pieces without memory take no time.
    ejection_.OnOverloaded(target, now);
    return;
  }
  smoothed_call_time_ =
      smoothed_call_time_.count() == 0
          ? took
          : smoothed_call_time_ +
                (took - smoothed_call_time_) / kCallTimeSmoothing;
  const double ratio =
      static_cast<double>(took.count()) /
      std::max(1.0, static_cast<double>(batch.expected.count()));
  UpdateSlowness(target, ratio);
  target->slowness_updated = now;
}

bool piece_queue::NeedsPiece(const queued_job* queued, uint32_t piece) {
  return queued != nullptr && piece < queued->handles.size() &&
         queued->handles[piece].empty();
}

std::optional<stage_job_outcome> piece_queue::OnCompleted(
    const piece_ref& ref, const std::string& handle,
    const std::string& target_id, common::time_point since,
    common::time_point now) {
  memory_.Add(handle, target_id, ref.result_bytes, since, now);
  queued_job* queued = FindJob(ref.request_id, ref.stage);
  // The piece may belong to a call for an earlier job of the same stage, or to
  // an overdue call. Each piece counts once; a duplicate is released.
  if (!NeedsPiece(queued, ref.piece)) {
    return stage_job_outcome{
        ref.request_id, "", ref.stage, false, piece_outcome::kCompleted,
        {handle}};
  }
  std::erase(queued->pending_pieces, ref.piece);
  queued->handles[ref.piece] = handle;
  if (++queued->completed_pieces < queued->job.pieces) return std::nullopt;
  return stage_job_outcome{ref.request_id,
                           queued->job.origin,
                           ref.stage,
                           true,
                           piece_outcome::kCompleted,
                           Remove(ref.request_id, ref.stage)};
}

std::optional<stage_job_outcome> piece_queue::OnNotCompleted(
    const piece_ref& ref, piece_outcome outcome) {
  queued_job* queued = FindJob(ref.request_id, ref.stage);
  if (!NeedsPiece(queued, ref.piece)) return std::nullopt;
  const bool rejected =
      outcome == piece_outcome::kNotRun || outcome == piece_outcome::kNoRoom;
  if (!rejected) queued->failures += 1;
  const bool is_final = outcome == piece_outcome::kExpired ||
                        outcome == piece_outcome::kInputMissing;
  if (is_final || queued->failures > kMaxFailures) {
    return stage_job_outcome{ref.request_id, queued->job.origin,
                             ref.stage,      false,
                             outcome,        Remove(ref.request_id, ref.stage)};
  }
  if (std::find(queued->pending_pieces.begin(), queued->pending_pieces.end(),
                ref.piece) == queued->pending_pieces.end()) {
    queued->pending_pieces.push_back(ref.piece);
  }
  return std::nullopt;
}

std::vector<stage_job_outcome> piece_queue::TakeExpired(
    common::time_point now) {
  std::vector<stage_job_outcome> ended;
  const common::duration min_call_time = CallTime(1);
  Sort(now);
  // Late jobs are served last. Those that cannot get their turn before their
  // deadline fail now.
  const double late_rate = LateRate(total_rate_, now);
  double ahead = 0;
  double late_ahead = 0;
  for (const std::unique_ptr<queued_job>& each : jobs_) {
    if (each->pending_pieces.empty()) continue;
    common::duration wait(0);
    if (each->is_late && total_rate_ > 0) {
      wait = common::FromSeconds(ahead / total_rate_ + late_ahead / late_rate);
    }
    (each->is_late ? late_ahead : ahead) +=
        static_cast<double>(each->pending_pieces.size());
    if (now + wait + min_call_time <= each->job.deadline) continue;
    ended.push_back({each->job.request_id,
                     each->job.origin,
                     each->job.stage,
                     false,
                     piece_outcome::kExpired,
                     {}});
  }
  for (stage_job_outcome& each : ended) {
    each.handles = Remove(each.request_id, each.stage);
  }
  return ended;
}

piece_queue::queued_job* piece_queue::FindJob(std::string_view request_id,
                                              uint32_t stage) {
  for (const std::unique_ptr<queued_job>& each : jobs_) {
    if (each->job.stage == stage && each->job.request_id == request_id) {
      return each.get();
    }
  }
  return nullptr;
}

void piece_queue::DropExpired(common::time_point now) {
  if (now < last_expiry_check_ + kExpiryCheckInterval) return;
  last_expiry_check_ = now;
  std::erase_if(upcoming_stages_, [now](const auto& entry) {
    return entry.second.expires <= now;
  });
  memory_.DropExpired(now);
}

}  // namespace wisteriadale::core
