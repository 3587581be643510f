#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/forwarding/attempt_rules.h"
#include "core/forwarding/event_stream_filter.h"
#include "core/stages/stage_plan.h"
#include "core/stages/stage_schedule.h"
#include "gateway/forwarder.h"

namespace wisteriadale::gateway {

/// Forwards one request of a caller: finds its route, runs its stages, sends it
/// to a target, retries where that is safe, and relays the response.
class forward_request final : public net::response_handler {
 public:
  /// @param owner    destroys this object when the request ends
  /// @param exchange the request, and the connection to respond on
  forward_request(forwarder& owner, forward_dependencies& dependencies,
                  std::shared_ptr<net::http1_exchange> exchange);
  ~forward_request() override;

  /// Starts processing. May finish the request and destroy this object before
  /// it returns.
  void Start();

  /// Ends the request at once, at its deadline or when the process stops: 504
  /// if it may have run, else 503; a response that is being relayed is cut off.
  /// Destroys this object.
  void Terminate();

  void OnHead(const net::message_head& head) override;
  void OnBody(std::string_view data) override;
  void OnComplete() override;
  void OnFailure(net::call_failure failure) override;

 private:
  /// A response that the gateway makes itself.
  struct local_response {
    int status;
    std::string_view reason;
    std::string_view text;
  };

  /// Finds the route and draws one of its services by weight.
  /// @return whether there is one; else the caller got a 404
  bool FindRoute();
  /// @return whether the key is valid or not needed; else the caller got a 401
  bool FindOrganisation();
  /// @return a digest that stays the same when a caller retries the request
  const std::string& Digest() const;
  /// @return how much longer the request is quarantined because it crashes
  /// targets; 0: not quarantined
  common::duration RemainingQuarantine() const;
  /// @return whether the request is quarantined and the caller got a 503
  bool RejectQuarantined();
  /// @return whether the target sent a part of the response's body
  bool TargetBeganToWrite() const;
  /// @return what the loss of the target now may be due to
  core::crash_suspicion CrashSuspicion() const;
  /// Counts the end of an attempt that this request, or a part of its prompt,
  /// may have caused by crashing its target, or clears them.
  void RecordSuspectedCrash(core::attempt_outcome outcome);
  /// Clears the request and the parts of its prompt, as a target answered it.
  void ClearSuspects();
  /// @return parts of the prompt that other requests have too: all but the last
  std::span<const core::prompt_part> SharedParts() const;
  /// Turns a request away that a planned stop would cut off.
  /// @param decision on the request
  /// @return whether it was turned away; `this` is destroyed then
  bool RejectedByStop(const core::stop_decision& decision);
  /// Rejects a request if all targets of a service that it needs are in
  /// evacuated data centres.
  /// @return whether it was
  bool RejectedByEvacuation();
  /// Sets the deadline, the objective and the priority.
  void ComputeDeadlines();
  /// @return whether the header with the piece counts was valid; else the
  /// caller got a 400
  bool CreateStagePlan();
  void ParsePromptHeaders();

  /// @return whether the stages were admitted; else the caller got a 503
  bool AdmitStages();
  /// Adds the stages to the latency estimate, and announces those that start
  /// later to the owners of their queues.
  void AnnounceUpcomingStages();
  /// Submits the stages whose inputs are complete; sends the request to a
  /// target once all stages are.
  void StartReadyStages();
  /// Sets the data centre in which the job transfers the fewest bytes.
  void SetPreferredDataCentre(core::stage_job* job);
  /// @return data centre and size of each result of the stages
  std::vector<core::data_centre_bytes> ResultLocations(
      std::span<const uint32_t> stages) const;
  void SubmitStage(uint32_t stage);
  /// @return how long to delay a stage, so that large results don't occupy the
  /// memory of targets while other stages still run
  common::duration StageDelay(uint32_t stage) const;
  void ReleaseUnneededResults();
  void OnStageOutcome(const core::stage_outcome_message& outcome);
  bool MayRestartStages() const;
  void RestartStages();
  /// Cancels unfinished stages and releases the results that are still held.
  void DiscardStages();

  /// @return what the choice of a target depends on
  core::selection_context SelectionContext() const;
  core::selection_context SelectionContextWithInputs() const;
  /// @return what the next step after an attempt depends on
  core::attempt_context ContextAfter(core::attempt_outcome outcome) const;
  /// Resets the state of the last attempt and accounts for a new one.
  void RecordAttemptStart(common::duration remaining);
  /// Chooses a target and sends the request to it; responds if there is none.
  void StartAttempt();
  std::vector<net::http_header> ForwardedHeaders(
      const core::fleet_target& target, common::duration remaining) const;
  /// @return whether the response is a success that the target signed
  bool Succeeded() const;
  /// @return whether the response is the target's own failure with a status
  /// that would promise that the request has not run: one that must not run
  /// twice would be sent again
  bool IsUnstatedPromise() const;
  /// Sends the head of the response, before its body is complete.
  void StartRelay(const net::message_head& head);
  /// @return whether the response is one that a stream can be resumed with
  bool ContinuesStream() const;
  void RelayBody(std::string_view data);
  /// Ends the relay of a response that will not be complete.
  /// @return whether nothing of it was sent, so that the caller is still owed a
  /// response; else its connection is broken
  bool AbandonRelay();
  /// Pauses reading from the target while the caller reads too slowly.
  void ApplyBackpressure();
  /// @return whether the response may be read on from the target
  bool MayReadOn() const;
  /// Ends the attempt in progress, if any: the only place where attempts end.
  /// Tells the counts of crashes, the target's health, the metrics and the
  /// target's load of it.
  void EndAttempt(core::attempt_outcome outcome);
  /// Decides what follows a failed attempt: a retry or a response to the
  /// caller.
  void FinishAttempt(core::attempt_outcome outcome);
  void UpdateTargetHealth(core::attempt_outcome outcome);
  /// Records what the response says of the target that sent it.
  void ObserveStatements();
  /// Waits for a slot of a target whose limit allows no request now.
  /// @return whether it waits; else the target has no slot in time
  bool WaitForSlot(const core::fleet_target& target);
  /// @return how long it is of use to wait for a slot
  common::duration MaxSlotDelay() const;
  void OnSlotOutcome(const core::slot_outcome& outcome);
  /// Records how long it takes until a target has a free slot.
  void NoteSlotDelay(common::duration delay);
  /// Responds, or ends the response that is being relayed, as no target takes
  /// the request.
  void RespondNoTarget();
  /// Sends the complete response of the target to the caller.
  void ForwardResponse(const std::string& target);
  /// Logs and counts the outcome and ends the request; `this` is destroyed.
  void Conclude(std::string_view outcome, int status, std::string_view target);
  /// Responds with 503: the request did not run and may be retried; with 502 if
  /// an earlier attempt may have run.
  void RespondNotRun(std::string_view why);
  /// Responds with 502: the request may have run.
  void RespondUnknownOutcome(std::string_view why);
  /// Responds with 502 instead of a status that promises that the request has
  /// not run if it may have run.
  /// @param retry_after value of the Retry-After header; 0: no header
  void Respond(const local_response& response, common::duration retry_after);
  /// @return when a refused caller should retry
  common::duration RetryAfter();
  void OnCallerDisconnected();
  /// Drops the call, and takes the request off the load of its target.
  void ReleaseTarget();
  /// Ends the request; `this` is destroyed.
  void End();

  bool IsRetryable() const { return route_->retryable(); }
  common::duration RemainingTime() const;
  const std::string& organisation_name() const;

  forwarder& owner_;
  forward_dependencies& deps_;
  std::shared_ptr<net::http1_exchange> exchange_;
  std::shared_ptr<const core::route_table> route_table_;
  const core::route* route_ = nullptr;
  const core::organisation_spec* organisation_ = nullptr;
  std::string request_id_;
  mutable std::string digest_;  ///< empty: not computed yet
  std::string service_;
  common::time_point deadline_{};  ///< the earlier of caller's and route's
  /// When the response must have started: callers abandon a stream without a
  /// first event.
  common::time_point start_by_{};
  /// Time by which the latency objective is met. Counts from the first request
  /// of a caller that retries.
  common::time_point objective_{};
  uint32_t rank_ = 0;  ///< in queues; see RequestRank
  std::vector<core::prompt_part> prompt_parts_;
  uint32_t prompt_tokens_ = 0;

  std::optional<core::stage_plan> plan_;
  std::vector<uint32_t> piece_counts_;
  bool late_ = false;  ///< the objective cannot be met
  /// When a stage was submitted, and the time it was estimated to take.
  struct stage_start {
    common::time_point at{};
    common::duration estimate{0};
  };
  std::vector<stage_start> stage_starts_;
  std::vector<std::string> inputs_;  ///< handles of the final stages' results
  uint32_t stage_restarts_ = 0;

  std::shared_ptr<core::fleet_target> target_;
  double outstanding_tokens_ = 0;  ///< counted at the target by this attempt
  std::unique_ptr<net::http1_call> call_;
  std::vector<std::string> tried_targets_;  ///< ids
  common::time_point attempt_started_{};
  /// When the head of the latest response arrived; zero: none has.
  common::time_point head_at_{};
  uint64_t slot_wait_ = 0;   ///< id of the wait for a slot; 0: none
  uint32_t slot_waits_ = 0;  ///< number of waits
  /// Time until the next free slot of those that were denied; 0: none was.
  common::duration next_slot_delay_{0};
  uint32_t attempts_ = 0;
  uint32_t failed_dials_ = 0;
  bool may_have_run_ = false;

  net::message_head response_head_;  ///< response of the current attempt
  std::string response_body_;
  /// Why the current attempt has no complete response; nothing: it has one.
  std::optional<net::call_failure> failure_;
  size_t ignored_bytes_ = 0;  ///< of a body that is not forwarded
  bool response_not_run_ = false;
  bool inputs_missing_ = false;   ///< not run because its inputs don't exist
  bool response_signed_ = false;  ///< has the target's signature
  bool relaying_ = false;         ///< the response is forwarded as it arrives
  net::body_framing relay_framing_ = net::body_framing::kNone;
  bool streaming_events_ = false;  ///< relayed event by event
  core::event_stream_filter filter_;
  bool caller_disconnected_ = false;
  common::timer_id timeout_timer_ = 0;
  common::timer_id resume_timer_ = 0;
  common::timer_id stage_timer_ = 0;  ///< of delayed stages
};

}  // namespace wisteriadale::gateway
