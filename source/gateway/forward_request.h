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

/// One request of a caller, from its arrival to the end of its answer.
class forward_request final : public net::call_handler {
 public:
  forward_request(forwarder& owner, forward_dependencies& dependencies,
                  std::shared_ptr<net::http1_exchange> exchange);
  ~forward_request() override;

  /// Begins. The request may end, and this object with it, within.
  void Start();

  /// Ends now, with the truest answer that is left. The object is destroyed.
  void Terminate();

  void OnHead(const net::message_head& head) override;
  void OnBody(std::string_view data) override;
  void OnComplete() override;
  void OnFailure(net::call_failure why) override;

 private:
  /// What the caller is answered.
  struct own_answer {
    int status;
    std::string_view reason;
    std::string_view text;
  };

  bool FindRoute();
  bool FindOrganisation();
  /// @return what stays the same when a caller sends the request again
  std::string Digest() const;
  /// @return how long the request is refused, as it crashes targets; 0: it is
  /// not
  common::duration RefusedFor() const;
  /// @return whether the request crashes targets and was answered so
  bool RefuseQuarantined();
  /// Counts a target that may have been lost by this request.
  void NoteLoss(net::call_failure why);
  void SetTimes();
  bool MakePlan();
  void ReadPrompt();

  bool AdmitStages();
  void AnnounceStages();
  void RunStages();
  /// Sets where the pieces of a stage are best made.
  void SetPlace(core::stage_job* order);
  /// @return where the results of stages are
  std::vector<core::data_centre_bytes> PlacesOf(
      std::span<const uint32_t> stages) const;
  void SubmitStage(uint32_t stage);
  /// @return how long a stage should wait for others
  common::duration DelayOf(uint32_t stage) const;
  void ReleaseSpent();
  void OnStageEnd(const core::stage_outcome_message& end);
  bool MayRestartStages() const;
  void RestartStages();
  void ReleaseInputs();

  core::selection_context Question() const;
  core::selection_context QuestionWithInputs() const;
  core::attempt_context QuestionAfter(core::attempt_outcome end) const;
  /// An attempt begins at the target.
  void NoteSent(common::duration left);
  void SendToTarget();
  std::vector<net::http_header> HeadersFor(const core::fleet_target& target,
                                           common::duration left) const;
  /// @return whether the answer is a target's own success
  bool Succeeded() const;
  void BeginRelay(const net::message_head& head);
  void Relay(std::string_view data);
  void LimitPending();
  void EndAttempt(core::attempt_outcome end);
  void NoteTarget(core::attempt_outcome end);
  void PassOnAnswer(const std::string& target);
  /// Tells how the request ended, and ends it; `this` is destroyed.
  void Conclude(std::string_view outcome, int status, std::string_view target);
  void AnswerNotRun(std::string_view why);
  void AnswerUnknown(std::string_view why);
  /// @param return_after when the caller should come back; 0: not told
  void Answer(const own_answer& answer, common::duration return_after);
  common::duration ReturnAfter();
  void OnGone();
  void LeaveTarget();
  /// Ends the request; `this` is destroyed.
  void End();

  bool MayRepeat() const { return route_->retryable(); }
  common::duration TimeLeft() const;
  const std::string& organisation_name() const;

  forwarder& owner_;
  forward_dependencies& dependencies_;
  std::shared_ptr<net::http1_exchange> exchange_;
  std::shared_ptr<const core::route_table> table_;
  const core::route* route_ = nullptr;
  const core::organisation_spec* organisation_ = nullptr;
  std::string request_id_;
  std::string service_;
  common::time_point deadline_{};  ///< the caller's, or the route's
  common::time_point begin_by_{};  ///< the caller waits for a first event
  common::time_point objective_{};
  uint32_t priority_ = 0;
  std::vector<core::prompt_part> prompt_parts_;
  uint32_t prompt_tokens_ = 0;

  std::optional<core::stage_plan> plan_;
  std::vector<uint32_t> piece_counts_;
  bool late_ = false;  ///< the objective cannot be met
  /// When a stage was asked for, and the time that it was expected to take.
  struct begun_stage {
    common::time_point at{};
    common::duration estimate{0};
  };
  std::vector<begun_stage> begun_;
  std::vector<std::string> inputs_;
  uint32_t stage_restarts_ = 0;

  std::shared_ptr<core::fleet_target> target_;
  double counted_tokens_ = 0;
  std::unique_ptr<net::http1_call> call_;
  std::vector<std::string> tried_;
  uint32_t attempts_ = 0;
  uint32_t dials_failed_ = 0;
  bool may_have_run_ = false;

  net::message_head answer_;  ///< of the current attempt
  std::string answer_body_;
  bool answer_not_run_ = false;
  bool inputs_gone_ = false;    ///< ... because its inputs are gone
  bool answer_signed_ = false;  ///< it bears the target's signature
  bool relaying_ = false;       ///< the answer is passed on as it arrives
  bool events_ = false;         ///< ... event by event
  core::event_stream_filter stream_;
  bool caller_gone_ = false;
  common::timer_id timeout_timer_ = 0;
  common::timer_id resume_timer_ = 0;
  common::timer_id stage_timer_ = 0;  ///< of stages that wait for others
};

}  // namespace wisteriadale::gateway
