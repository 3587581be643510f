#include "core/stages/piece_queue.h"

#include <algorithm>
#include <limits>

namespace wisteriadale::core {
namespace {

// Failed calls that one order survives: a crash takes one, and two targets may
// crash together.
constexpr uint32_t kMostFailures = 3;
// Weight of the newest call in a target's smoothed slowness: three slow calls
// tell.
constexpr double kSlownessWeight = 0.3;
// Calls that fetch large inputs take up to 1.3 times what their sheet says.
constexpr double kNormalSlowness = 1.6;
constexpr double kAnySlowness = std::numeric_limits<double>::infinity();
// A slow target is tried again after this time, a few calls of the others.
constexpr common::duration kSlownessRetry = std::chrono::milliseconds(1500);
// The trusted part of a target's room, cut by each call that found none left
// and regained over ten calls: sizes of results are approximate.
constexpr double kLeastRoomShare = 0.5;
constexpr double kRoomShareCut = 0.9;
constexpr double kRoomShareGain = 0.01;
// A call that takes this many times as long as it should, and this much more,
// is overdue: usual ones stay below 1.3 times.
constexpr int kOverdueCall = 2;
constexpr common::duration kOverdueMargin = std::chrono::milliseconds(50);
// After this a call has no answer: slow targets take five times as long.
constexpr int kSlowestCall = 5;
constexpr common::duration kCallMargin = std::chrono::milliseconds(200);
// Between two looks for results and announcements that lapsed: both live for
// seconds, and looking costs as much as there are of them.
constexpr common::duration kExpiryPeriod = std::chrono::milliseconds(50);
// What comes in time is counted over this time: some calls, and well below the
// few seconds that a burst lasts.
constexpr common::duration kRateMemory = std::chrono::seconds(1);
// Late orders count on this part of a queue's work even while all of it seems
// taken: a rate is known to a few parts in a hundred.
constexpr double kLeastLateShare = 0.04;
// The newest call is one part in this many of the smoothed time of calls.
constexpr int kUsualCallParts = 8;
// Bytes worth a wait for a target of the right data centre: a stage's results
// of a request are 0.5 MB and more, or far less. The wait is a fifth of what a
// full call takes, and no more than a third of the spare time.
constexpr uint64_t kLargeMove = 500000;
constexpr common::duration kPlaceWait = std::chrono::milliseconds(60);
constexpr int kSpareShare = 3;

// A target of pieces runs one call of some 200 ms at a time: it rests longer
// after a lost one than a target of many requests, and less when it is full.
target_ejection_options EjectionOptions() {
  target_ejection_options options;
  options.base_ejection_time = std::chrono::milliseconds(500);
  options.max_doublings = 3;
  options.overload_pause = std::chrono::milliseconds(60);
  return options;
}

void AppendMade(const std::vector<std::string>& handles,
                std::vector<std::string>* to) {
  for (const std::string& handle : handles) {
    if (!handle.empty()) to->push_back(handle);
  }
}

}  // namespace

std::string_view ToString(piece_outcome end) {
  constexpr std::string_view kNames[] = {"made",  "late", "gone",   "room",
                                         "error", "lost", "not_run"};
  return kNames[static_cast<size_t>(end)];
}

piece_queue::piece_queue(const batch_spec& spec)
    : spec_(spec), ejection_(EjectionOptions()), in_time_(kRateMemory) {}

void piece_queue::Add(const stage_job& order, common::time_point now) {
  Remove(order.request_id, order.stage);
  notices_.erase({order.request_id, order.stage});
  std::unique_ptr<queued_order> queued = std::make_unique<queued_order>();
  queued->order = order;
  queued->added = now;
  queued->handles.resize(order.pieces);
  if (!IsLate(*queued, now)) in_time_.Add(order.pieces, now);
  for (uint32_t i = 0; i < order.pieces; ++i) queued->waiting.push_back(i);
  orders_.push_back(std::move(queued));
  sorted_ = false;
}

void piece_queue::Announce(const upcoming_stage& notice) {
  notices_[{notice.request_id, notice.stage}] = notice;
}

std::vector<std::string> piece_queue::Cancel(std::string_view request_id) {
  const std::string id(request_id);
  auto notice = notices_.lower_bound({id, 0});
  while (notice != notices_.end() && notice->first.first == id) {
    notice = notices_.erase(notice);
  }
  std::vector<std::string> made;
  std::erase_if(orders_, [&](const std::unique_ptr<queued_order>& each) {
    if (each->order.request_id != request_id) return false;
    AppendMade(each->handles, &made);
    return true;
  });
  return made;
}

std::vector<std::string> piece_queue::Remove(std::string_view request_id,
                                             uint32_t stage) {
  std::vector<std::string> made;
  std::erase_if(orders_, [&](const std::unique_ptr<queued_order>& each) {
    if (each->order.stage != stage || each->order.request_id != request_id) {
      return false;
    }
    AppendMade(each->handles, &made);
    return true;
  });
  return made;
}

void piece_queue::Free(std::span<const std::string> handles) {
  for (const std::string& handle : handles) {
    const auto found = results_.find(handle);
    if (found == results_.end()) continue;
    uint64_t& reserved = reserved_[found->second.target_id];
    reserved -= std::min(reserved, found->second.bytes);
    results_.erase(found);
  }
}

size_t piece_queue::queued_pieces() const {
  size_t pieces = 0;
  for (const std::unique_ptr<queued_order>& each : orders_) {
    pieces += each->waiting.size();
  }
  return pieces;
}

uint64_t piece_queue::RoomLeft(const std::string& target_id) const {
  const auto found = reserved_.find(target_id);
  const uint64_t reserved = found == reserved_.end() ? 0 : found->second;
  const auto share = room_share_.find(target_id);
  const double trusted = share == room_share_.end() ? 1.0 : share->second;
  const uint64_t room = static_cast<uint64_t>(
      static_cast<double>(spec_.result_capacity_bytes) * trusted);
  return room > reserved ? room - reserved : 0;
}

bool piece_queue::IsTooSlow(const fleet_target& target,
                            common::time_point now) const {
  if (target.slowness <= kNormalSlowness || fast_rate_ <= 0) return false;
  // Now and then a slow target is asked again: it may have recovered.
  if (now - target.slowness_updated > kSlownessRetry) return false;
  const size_t queued = queued_pieces();
  const double call = static_cast<double>(
      CallTime(std::min<size_t>(queued, spec_.max_pieces)).count());
  const double wait = static_cast<double>(
      common::FromSeconds(static_cast<double>(queued) / fast_rate_).count());
  return call * target.slowness > wait + call;
}

void piece_queue::NoteSlowness(fleet_target* target, double ratio) {
  target->slowness += kSlownessWeight * (ratio - target->slowness);
  if (target->slowness < kNormalSlowness && ratio < kNormalSlowness) {
    target->slowness = 1.0;
  }
}

void piece_queue::OnOverdue(const piece_batch& batch, common::duration took) {
  const double ratio =
      static_cast<double>(took.count()) /
      std::max(1.0, static_cast<double>(batch.expected.count()));
  batch.target->slowness = std::max(batch.target->slowness, ratio);
  for (const piece_ref& ref : batch.pieces) {
    queued_order* queued = FindOrder(ref.request_id, ref.stage);
    if (!Wants(queued, ref.piece)) continue;
    if (std::find(queued->waiting.begin(), queued->waiting.end(), ref.piece) ==
        queued->waiting.end()) {
      queued->waiting.push_back(ref.piece);
    }
  }
}

bool piece_queue::IsOverdue(const piece_batch& batch, common::duration took) {
  return took >= batch.expected * kOverdueCall + kOverdueMargin;
}

common::duration piece_queue::CallTimeout(const piece_batch& batch) {
  return batch.expected * kSlowestCall + kCallMargin;
}

bool piece_queue::IsFree(const fleet_target& target,
                         common::time_point now) const {
  if (!target.Usable(now) || target.overloaded_until > now) return false;
  if (IsTooSlow(target, now)) return false;
  const auto calls = calls_on_.find(target.entry.id);
  return calls == calls_on_.end() || calls->second < spec_.slots;
}

std::shared_ptr<fleet_target> piece_queue::FreeTarget(
    const target_directory::pool& targets, const std::string& data_centre,
    common::time_point now) const {
  std::shared_ptr<fleet_target> best;
  for (const std::shared_ptr<fleet_target>& each : targets) {
    if (!data_centre.empty() && each->entry.data_centre != data_centre) {
      continue;
    }
    if (!IsFree(*each, now)) continue;
    const bool better = !best || each->slowness < best->slowness ||
                        (each->slowness == best->slowness &&
                         RoomLeft(each->entry.id) > RoomLeft(best->entry.id));
    if (better) best = each;
  }
  return best;
}

bool piece_queue::WaitsForPlace(const queued_order& queued,
                                const std::string& data_centre,
                                common::time_point now) const {
  const stage_job& order = queued.order;
  if (order.data_centre.empty() || order.data_centre == data_centre) {
    return false;
  }
  if (order.remote_input_bytes < kLargeMove) return false;
  const common::duration spare =
      order.objective - queued.added - CallTime(spec_.max_pieces);
  const common::duration wait =
      std::min(kPlaceWait, std::max(spare, common::duration(0)) / kSpareShare);
  return now < queued.added + wait;
}

bool piece_queue::IsLate(const queued_order& queued,
                         common::time_point now) const {
  return queued.order.late || now + CallTime(1) > queued.order.objective;
}

void piece_queue::Sort(common::time_point now) {
  if (sorted_ && now < sorted_until_) return;
  sorted_ = true;
  sorted_until_ = common::time_point::max();
  for (const std::unique_ptr<queued_order>& each : orders_) {
    each->late_now = IsLate(*each, now);
    if (each->late_now) continue;
    sorted_until_ =
        std::min(sorted_until_, each->order.objective - CallTime(1));
  }
  std::stable_sort(orders_.begin(), orders_.end(),
                   [](const std::unique_ptr<queued_order>& left,
                      const std::unique_ptr<queued_order>& right) {
                     if (left->late_now != right->late_now) {
                       return right->late_now;
                     }
                     // Late ones that were expected in time go first: other
                     // stages were made for them.
                     if (left->order.late != right->order.late) {
                       return right->order.late;
                     }
                     if (left->order.priority != right->order.priority) {
                       return left->order.priority < right->order.priority;
                     }
                     return left->order.objective < right->order.objective;
                   });
}

void piece_queue::Take(queued_order* from, bool may_split, piece_batch* batch,
                       uint64_t* room) {
  const size_t left = spec_.max_pieces - batch->pieces.size();
  size_t take = std::min(from->waiting.size(), left);
  const uint64_t bytes = std::max<uint64_t>(1, from->order.result_bytes);
  take = std::min(take, static_cast<size_t>(*room / bytes));
  // A split order needs two calls: only where it cannot be made in one, or
  // where the queue fills more than this call.
  const bool split = take < from->waiting.size();
  if (take == 0 || (split && !may_split && !batch->pieces.empty())) return;
  for (size_t i = 0; i < take; ++i) {
    batch->pieces.push_back({from->order.request_id, from->order.stage,
                             from->waiting[i], from->order.key,
                             from->order.inputs, from->order.result_bytes,
                             from->order.deadline});
  }
  from->waiting.erase(from->waiting.begin(),
                      from->waiting.begin() + static_cast<ptrdiff_t>(take));
  *room -= take * from->order.result_bytes;
}

void piece_queue::Fill(piece_batch* batch, common::time_point now) {
  const std::string& data_centre = batch->target->entry.data_centre;
  uint64_t room = RoomLeft(batch->target->entry.id);
  const bool may_split = queued_pieces() > spec_.max_pieces;
  for (const bool here : {true, false}) {
    for (const std::unique_ptr<queued_order>& each : orders_) {
      if (batch->pieces.size() >= spec_.max_pieces) return;
      const std::string& wanted = each->order.data_centre;
      const bool is_here = wanted.empty() || wanted == data_centre;
      if (each->waiting.empty() || is_here != here) continue;
      if (WaitsForPlace(*each, data_centre, now)) continue;
      Take(each.get(), may_split, batch, &room);
    }
  }
}

std::optional<piece_batch> piece_queue::Next(
    const target_directory::pool& targets, common::time_point now) {
  DropExpired(now);
  last_rate_ = PiecesPerSecond(targets, kAnySlowness, now);
  fast_rate_ = PiecesPerSecond(targets, kNormalSlowness, now);
  const size_t queued = queued_pieces();
  if (queued == 0) return std::nullopt;
  if (queued < spec_.max_pieces && now < last_call_ + CallGap(targets, now)) {
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
  // The first order that can begin chooses the target.
  for (const std::unique_ptr<queued_order>& each : orders_) {
    if (each->waiting.empty()) continue;
    batch.target = FreeTarget(targets, each->order.data_centre, now);
    if (!batch.target && !WaitsForPlace(*each, "", now)) {
      batch.target = FreeTarget(targets, "", now);
    }
    if (!batch.target) continue;
    Fill(&batch, now);
    if (!batch.pieces.empty()) break;
  }
  if (batch.pieces.empty()) return std::nullopt;
  batch.expected = CallTime(batch.pieces.size());
  const std::string& target_id = batch.target->entry.id;
  for (const piece_ref& piece : batch.pieces) {
    reserved_[target_id] += piece.result_bytes;
  }
  calls_on_[target_id] += 1;
  batch.target->in_flight += 1;
  calls_ += 1;
  last_call_ = now;
  return batch;
}

common::duration piece_queue::CallGap(const target_directory::pool& targets,
                                      common::time_point now) const {
  const int64_t usable =
      std::count_if(targets.begin(), targets.end(),
                    [now](const std::shared_ptr<fleet_target>& each) {
                      return each->Usable(now);
                    });
  if (usable == 0 || calls_ == 0) return common::duration(0);
  return usual_call_ / (usable * spec_.slots);
}

std::vector<stage_job_outcome> piece_queue::OnCallEnd(
    const piece_batch& batch, std::span<const piece_result> results,
    common::duration took, common::time_point now) {
  NoteCall(batch, results, took, now);
  std::vector<stage_job_outcome> ended;
  for (size_t i = 0; i < batch.pieces.size(); ++i) {
    const piece_ref& ref = batch.pieces[i];
    const piece_result result =
        i < results.size() ? results[i] : piece_result();
    std::optional<stage_job_outcome> end =
        result.end == piece_outcome::kCompleted
            ? OnMade(ref, result.handle, batch.target->entry.id, now)
            : OnNotMade(ref, result.end);
    if (end) ended.push_back(std::move(*end));
  }
  return ended;
}

void piece_queue::NoteCall(const piece_batch& batch,
                           std::span<const piece_result> results,
                           common::duration took, common::time_point now) {
  fleet_target* target = batch.target.get();
  const std::string& target_id = target->entry.id;
  calls_ -= 1;
  target->in_flight -= 1;
  if (--calls_on_[target_id] == 0) calls_on_.erase(target_id);
  uint64_t& reserved = reserved_[target_id];
  for (const piece_ref& piece : batch.pieces) {
    reserved -= std::min(reserved, piece.result_bytes);
  }
  const piece_outcome first =
      results.empty() ? piece_outcome::kLost : results[0].end;
  if (first == piece_outcome::kLost) {
    ejection_.OnLost(target, now);
    return;
  }
  if (first == piece_outcome::kNotRun) {
    ejection_.OnOverloaded(target, now);
    return;
  }
  const bool no_room =
      std::any_of(results.begin(), results.end(), [](const piece_result& each) {
        return each.end == piece_outcome::kNoRoom;
      });
  double& share = room_share_.try_emplace(target_id, 1.0).first->second;
  if (no_room) {
    ejection_.OnOverloaded(target, now);
    share = std::max(kLeastRoomShare, share * kRoomShareCut);
  } else {
    share = std::min(1.0, share + kRoomShareGain);
  }
  ejection_.OnSuccess(target);
  usual_call_ = usual_call_.count() == 0
                    ? took
                    : usual_call_ + (took - usual_call_) / kUsualCallParts;
  const double ratio =
      static_cast<double>(took.count()) /
      std::max(1.0, static_cast<double>(batch.expected.count()));
  NoteSlowness(target, ratio);
  target->slowness_updated = now;
}

bool piece_queue::Wants(const queued_order* queued, uint32_t piece) {
  return queued != nullptr && piece < queued->handles.size() &&
         queued->handles[piece].empty();
}

std::optional<stage_job_outcome> piece_queue::OnMade(
    const piece_ref& ref, const std::string& handle,
    const std::string& target_id, common::time_point now) {
  results_[handle] = {target_id, ref.result_bytes, now + spec_.result_lifetime};
  reserved_[target_id] += ref.result_bytes;
  queued_order* queued = FindOrder(ref.request_id, ref.stage);
  // The piece may come from a call for an earlier order of the same stage:
  // each piece counts once, and a second copy is freed.
  if (!Wants(queued, ref.piece)) {
    return stage_job_outcome{
        ref.request_id, ref.stage, false, piece_outcome::kCompleted, {handle}};
  }
  std::erase(queued->waiting, ref.piece);
  queued->handles[ref.piece] = handle;
  if (++queued->made < queued->order.pieces) return std::nullopt;
  return stage_job_outcome{ref.request_id, ref.stage, true,
                           piece_outcome::kCompleted,
                           Remove(ref.request_id, ref.stage)};
}

std::optional<stage_job_outcome> piece_queue::OnNotMade(const piece_ref& ref,
                                                        piece_outcome end) {
  queued_order* queued = FindOrder(ref.request_id, ref.stage);
  if (!Wants(queued, ref.piece)) return std::nullopt;
  const bool refused =
      end == piece_outcome::kNotRun || end == piece_outcome::kNoRoom;
  if (!refused) queued->failures += 1;
  const bool final_end =
      end == piece_outcome::kExpired || end == piece_outcome::kInputMissing;
  if (final_end || queued->failures > kMostFailures) {
    return stage_job_outcome{ref.request_id, ref.stage, false, end,
                             Remove(ref.request_id, ref.stage)};
  }
  if (std::find(queued->waiting.begin(), queued->waiting.end(), ref.piece) ==
      queued->waiting.end()) {
    queued->waiting.push_back(ref.piece);
  }
  return std::nullopt;
}

std::vector<stage_job_outcome> piece_queue::TakeExpired(
    common::time_point now) {
  std::vector<stage_job_outcome> ended;
  const common::duration least = CallTime(1);
  Sort(now);
  // Late orders are served last: one that cannot have its turn in time is told
  // so now.
  const double late_rate = LateRate(last_rate_, now);
  double ahead = 0;
  double late_ahead = 0;
  for (const std::unique_ptr<queued_order>& each : orders_) {
    if (each->waiting.empty()) continue;
    common::duration wait(0);
    if (each->late_now && last_rate_ > 0) {
      wait = common::FromSeconds(ahead / last_rate_ + late_ahead / late_rate);
    }
    (each->late_now ? late_ahead : ahead) +=
        static_cast<double>(each->waiting.size());
    if (now + wait + least <= each->order.deadline) continue;
    ended.push_back({each->order.request_id,
                     each->order.stage,
                     false,
                     piece_outcome::kExpired,
                     {}});
  }
  for (stage_job_outcome& each : ended) {
    each.handles = Remove(each.request_id, each.stage);
  }
  return ended;
}

double piece_queue::PiecesPerSecond(const target_directory::pool& targets,
                                    double most_slowness,
                                    common::time_point now) const {
  const double full_seconds =
      std::chrono::duration<double>(CallTime(spec_.max_pieces)).count();
  double rate = 0;
  for (const std::shared_ptr<fleet_target>& each : targets) {
    if (!each->Usable(now) || each->slowness > most_slowness) continue;
    rate += static_cast<double>(spec_.slots) * spec_.max_pieces /
            (full_seconds * std::max(1.0, each->slowness));
  }
  return rate;
}

double piece_queue::LateRate(double rate, common::time_point now) const {
  return std::max(rate - in_time_.PerSecond(now), rate * kLeastLateShare);
}

service_load piece_queue::Load(const target_directory::pool& targets,
                               common::time_point now) const {
  service_load load;
  load.pieces_per_s = PiecesPerSecond(targets, kAnySlowness, now);
  load.call_time = usual_call_;
  load.late_pieces_per_s = LateRate(load.pieces_per_s, now);
  const auto add = [&](uint32_t priority, size_t pieces) {
    for (size_t level = PriorityLevel(priority); level < kPriorityLevels;
         ++level) {
      load.ahead[level] += static_cast<uint32_t>(pieces);
    }
  };
  for (const std::unique_ptr<queued_order>& each : orders_) {
    if (IsLate(*each, now)) {
      load.late_pieces += static_cast<uint32_t>(each->waiting.size());
    } else {
      add(each->order.priority, each->waiting.size());
    }
  }
  for (const auto& [key, notice] : notices_) {
    if (notice.expires > now) add(notice.priority, notice.pieces);
  }
  return load;
}

piece_queue::queued_order* piece_queue::FindOrder(std::string_view request_id,
                                                  uint32_t stage) {
  for (const std::unique_ptr<queued_order>& each : orders_) {
    if (each->order.stage == stage && each->order.request_id == request_id) {
      return each.get();
    }
  }
  return nullptr;
}

void piece_queue::DropExpired(common::time_point now) {
  if (now < expiry_looked_at_ + kExpiryPeriod) return;
  expiry_looked_at_ = now;
  std::erase_if(notices_, [now](const auto& entry) {
    return entry.second.expires <= now;
  });
  for (auto entry = results_.begin(); entry != results_.end();) {
    if (entry->second.expires > now) {
      ++entry;
      continue;
    }
    uint64_t& reserved = reserved_[entry->second.target_id];
    reserved -= std::min(reserved, entry->second.bytes);
    entry = results_.erase(entry);
  }
}

}  // namespace wisteriadale::core
