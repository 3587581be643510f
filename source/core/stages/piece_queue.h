#pragma once

#include <cstdint>
#include <map>
#include <optional>
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
#include "core/stages/stage_latency_estimator.h"

namespace wisteriadale::core {

/// All pieces of one stage of one request.
struct stage_job {
  std::string request_id;
  std::string service;
  std::string organisation;
  uint32_t stage = 0;
  uint32_t pieces = 0;
  std::string key;                  ///< of stages that follow no other
  std::vector<std::string> inputs;  ///< of the others
  uint64_t result_bytes = 0;        ///< of one piece, approximately
  uint32_t priority = 0;            ///< 0 first
  bool late = false;                ///< its request cannot meet its objective
  /// When the pieces should be made for the request to meet its objective.
  common::time_point objective;
  /// After it the pieces are of no use.
  common::time_point deadline;
  std::string data_centre;          ///< where it is best made; empty: no matter
  uint64_t remote_input_bytes = 0;  ///< that are moved if it is made elsewhere
};

/// Tells a queue of an order that follows once the stages before are made.
struct upcoming_stage {
  std::string request_id;
  std::string service;
  uint32_t stage = 0;
  uint32_t pieces = 0;
  uint32_t priority = 0;
  common::time_point expires;
};

/// How a piece ended in a call.
enum class piece_outcome {
  kCompleted,
  kExpired,       ///< its time had run out at its turn
  kInputMissing,  ///< an input does not exist any more
  kNoRoom,        ///< the target had no room for the result
  kError,         ///< the target failed to make it
  kLost,          ///< the call has no answer
  kNotRun         ///< the target refused the call
};

/// @return the name in logs and metrics
std::string_view ToString(piece_outcome end);

struct piece_result {
  piece_outcome end = piece_outcome::kLost;
  std::string handle;
};

/// One piece of a call.
struct piece_ref {
  std::string request_id;
  uint32_t stage = 0;
  uint32_t piece = 0;
  std::string key;
  std::vector<std::string> inputs;
  uint64_t result_bytes = 0;
  common::time_point deadline;
};

/// A call to one target.
struct piece_batch {
  std::shared_ptr<fleet_target> target;
  std::vector<piece_ref> pieces;
  common::duration expected{0};  ///< time that the call should take
};

/// How an order ended.
struct stage_job_outcome {
  std::string request_id;
  uint32_t stage = 0;
  bool made = false;
  piece_outcome failure = piece_outcome::kCompleted;
  /// In the order of the pieces; of a failed order, those to be freed.
  std::vector<std::string> handles;
};

/// The queue before the targets of one service. Calls take whatever is queued
/// when a target becomes free: batches fill up under load and no order waits
/// for others. Load it answers: pieces of all routers for targets that run one
/// call at a time, whose calls cost more than their pieces.
class piece_queue {
 public:
  explicit piece_queue(const batch_spec& spec);

  void SetSpec(const batch_spec& spec) { spec_ = spec; }
  const batch_spec& spec() const { return spec_; }

  /// Queues an order; one of the same request and stage is replaced.
  void Add(const stage_job& order, common::time_point now);
  /// An order will come.
  void Announce(const upcoming_stage& notice);
  /// Drops what is queued for a request.
  /// @return results that were already made for it
  std::vector<std::string> Cancel(std::string_view request_id);
  /// Results were freed at their makers.
  void Free(std::span<const std::string> handles);

  /// @return the next call that can be made now, if any
  std::optional<piece_batch> Next(const target_directory::pool& targets,
                                  common::time_point now);
  /// @return whether a call that still runs takes much longer than it should
  static bool IsOverdue(const piece_batch& batch, common::duration took);
  /// @return the longest time that a call may take
  static common::duration CallTimeout(const piece_batch& batch);
  /// A call takes much longer than it should: what it was to make is queued
  /// again, and the first copy of each piece counts.
  /// @param took time since the call began
  void OnOverdue(const piece_batch& batch, common::duration took);
  /// A call ended.
  /// @param results one for each piece of the batch
  /// @param took    time of the call
  /// @return orders that ended with it
  std::vector<stage_job_outcome> OnCallEnd(
      const piece_batch& batch, std::span<const piece_result> results,
      common::duration took, common::time_point now);
  /// Ends the orders that cannot be made in time any more.
  std::vector<stage_job_outcome> TakeExpired(common::time_point now);

  /// @return what a gateway needs to know to estimate the time of an order
  service_load Load(const target_directory::pool& targets,
                    common::time_point now) const;
  size_t queued_pieces() const;
  size_t calls() const { return calls_; }

 private:
  struct queued_order {
    stage_job order;
    std::vector<uint32_t> waiting;  ///< pieces not in a call
    std::vector<std::string> handles;
    uint32_t made = 0;
    uint32_t failures = 0;
    common::time_point added;
    bool late_now = false;  ///< at the last sort, or it came so
  };
  struct held_result {
    std::string target_id;
    uint64_t bytes = 0;
    common::time_point expires;
  };
  using order_list = std::vector<std::unique_ptr<queued_order>>;

  bool IsFree(const fleet_target& target, common::time_point now) const;
  /// @return whether waiting for other targets is quicker than a slow one
  bool IsTooSlow(const fleet_target& target, common::time_point now) const;
  static void NoteSlowness(fleet_target* target, double ratio);
  /// @return the best target that can take a call now, or null
  std::shared_ptr<fleet_target> FreeTarget(
      const target_directory::pool& targets, const std::string& data_centre,
      common::time_point now) const;
  /// @return whether an order still waits for a target of its data centre
  bool WaitsForPlace(const queued_order& queued, const std::string& data_centre,
                     common::time_point now) const;
  uint64_t RoomLeft(const std::string& target_id) const;
  /// @return the time between the begins of evenly spaced calls. Targets that
  /// become free together would else take a call each with little in it, and
  /// what comes next would wait for all of them.
  common::duration CallGap(const target_directory::pool& targets,
                           common::time_point now) const;
  bool IsLate(const queued_order& queued, common::time_point now) const;
  /// @param most_slowness slower targets do not count
  double PiecesPerSecond(const target_directory::pool& targets,
                         double most_slowness, common::time_point now) const;
  /// @param rate pieces a second that the targets make
  /// @return those that are left for late orders
  double LateRate(double rate, common::time_point now) const;
  /// Puts the orders in the order of service, if it may have changed.
  void Sort(common::time_point now);
  /// Fills a call with the orders for the target's data centre, then others.
  void Fill(piece_batch* batch, common::time_point now);
  /// Puts as much of an order into a call as is sensible.
  void Take(queued_order* from, bool may_split, piece_batch* batch,
            uint64_t* room);
  void NoteCall(const piece_batch& batch, std::span<const piece_result> results,
                common::duration took, common::time_point now);
  /// @return whether an order still lacks a piece
  static bool Wants(const queued_order* queued, uint32_t piece);
  std::optional<stage_job_outcome> OnMade(const piece_ref& ref,
                                          const std::string& handle,
                                          const std::string& target_id,
                                          common::time_point now);
  std::optional<stage_job_outcome> OnNotMade(const piece_ref& ref,
                                             piece_outcome end);
  /// Removes an order. @return results that were already made for it
  std::vector<std::string> Remove(std::string_view request_id, uint32_t stage);
  queued_order* FindOrder(std::string_view request_id, uint32_t stage);
  void DropExpired(common::time_point now);
  common::duration CallTime(size_t pieces) const {
    return spec_.call_time + spec_.piece_time * static_cast<int64_t>(pieces);
  }

  batch_spec spec_;
  target_ejection ejection_;
  order_list orders_;
  std::unordered_map<std::string, uint32_t> calls_on_;
  std::unordered_map<std::string, uint64_t> reserved_;
  std::unordered_map<std::string, held_result> results_;
  /// Part of its room that a target is trusted with: results differ in size.
  std::unordered_map<std::string, double> room_share_;
  /// Orders that will come, by request and stage.
  std::map<std::pair<std::string, uint32_t>, upcoming_stage> notices_;
  decayed_rate in_time_;            ///< pieces of orders that came in time
  common::duration usual_call_{0};  ///< smoothed time of a call
  double last_rate_ = 0;            ///< pieces a second, at the last look
  double fast_rate_ = 0;            ///< ... of the targets that are not slow
  common::time_point last_call_{};
  bool sorted_ = false;
  common::time_point sorted_until_{};  ///< an order is late from then on
  common::time_point expiry_looked_at_{};
  size_t calls_ = 0;
};

}  // namespace wisteriadale::core
