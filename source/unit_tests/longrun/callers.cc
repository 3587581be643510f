#include "unit_tests/longrun/callers.h"

#include <nlohmann/json.hpp>

#include "common/digest.h"
#include "common/invariant.h"
#include "unit_tests/longrun/fake_target.h"

namespace wisteriadale::longrun {
namespace {

using common::result_code;
using core::execution_status;
using nlohmann::json;

constexpr char kOrganisation[] = "parks";
constexpr common::milliseconds kDeadline{3000};
constexpr common::duration kCallerTimeout = std::chrono::seconds(5);
constexpr uint32_t kMaxResends = 3;
constexpr int64_t kMaxResendDelayUs = 2000000;
// Shares of requests.
constexpr double kTwoRoutersShare = 0.2;
constexpr double kMismatchedBodyShare = 0.05;
constexpr double kDisconnectShare = 0.03;
constexpr double kResendAfterSuccessShare = 0.1;

core::pipeline_stage Stage(const char* name, const char* pool, bool idempotent,
                           bool streamed) {
  core::pipeline_stage stage;
  stage.name = name;
  stage.pool = pool;
  stage.idempotent = idempotent;
  stage.streamed = streamed;
  return stage;
}

std::shared_ptr<core::configuration> MakeConfiguration() {
  std::shared_ptr<core::configuration> configuration =
      std::make_shared<core::configuration>();
  configuration->version = 1;
  configuration->preset = "ordinary";
  configuration->presets["ordinary"].name = "ordinary";
  core::pipeline_plan answer;
  answer.name = "answer";
  answer.stages = {Stage("retrieve", "plain", true, false),
                   Stage("generate", "engine", true, true)};
  core::pipeline_plan booking;
  booking.name = "booking";
  booking.stages = {Stage("encode", "plain", true, false),
                    Stage("book", "orders", false, false)};
  core::pipeline_plan deposit;
  deposit.name = "deposit";
  deposit.stages = {Stage("book", "orders", false, false),
                    Stage("generate", "engine", true, true)};
  configuration->pipelines = {
      {"answer", answer}, {"booking", booking}, {"deposit", deposit}};
  return configuration;
}

}  // namespace

/// Collects a request's stream and passes its result on to be checked.
class checking_sink final : public core::request_sink {
 public:
  checking_sink(callers& owner,
                std::shared_ptr<callers::submitted_request> submission)
      : owner_(owner), submission_(std::move(submission)) {}

  void OnData(std::string_view data) override {
    common::CheckInvariant(submission_->ends == 0, "data_before_end",
                           submission_->request_id);
    submission_->streamed.append(data);
  }
  void OnEnd(const core::request_result& result) override {
    owner_.OnEnd(submission_, result);
  }

 private:
  callers& owner_;
  std::shared_ptr<callers::submitted_request> submission_;
};

callers::callers(fakes::virtual_time& time, common::random_source& random,
                 execution_log& runs, router_list& routers)
    : time_(time),
      random_(random),
      execution_log_(runs),
      routers_(routers),
      configuration_(MakeConfiguration()) {}

void callers::SendNewRequest() {
  constexpr const char* kPipelines[] = {"answer", "booking", "booking",
                                        "deposit"};
  const std::shared_ptr<logical_request> fresh =
      std::make_shared<logical_request>();
  fresh->pipeline = kPipelines[random_.Below(4)];
  const uint64_t number = next_request_++;
  fresh->body = json{{"order", number}}.dump();
  if (fresh->pipeline != "answer") fresh->key = "k" + std::to_string(number);
  fresh->resends_left = kMaxResends;
  Send(fresh, false);
  if (fresh->key.empty() || random_.Uniform() >= kTwoRoutersShare) return;
  const bool other_body = random_.Uniform() < kMismatchedBodyShare;
  const common::duration gap(random_.Below(30000));
  time_.Schedule(gap, [this, fresh, other_body] { Send(fresh, other_body); });
}

void callers::Send(const std::shared_ptr<logical_request>& request,
                   bool other_body) {
  const std::shared_ptr<router_node> router =
      routers_[random_.Below(routers_.size())];
  if (!router) {
    ResendLater(request);
    return;
  }
  const std::shared_ptr<submitted_request> submission =
      std::make_shared<submitted_request>();
  submission->request = request;
  submission->sent_at = time_.Now();
  submission->router = router.get();
  submission->body_differs = other_body;
  submission->request_id = random_.HexId();
  core::request_description description;
  description.id = submission->request_id;
  description.organisation = kOrganisation;
  description.body = other_body ? "{\"order\":\"other\"}" : request->body;
  description.digest =
      common::Sha256Hex(request->pipeline + "\n" + description.body);
  submission->digest = description.digest;
  description.idempotency_key = request->key;
  description.deadline = kDeadline;
  description.plan = configuration_->pipelines.at(request->pipeline);
  description.configuration_in_force = configuration_;
  if (!request->key.empty()) {
    submission->row_key = core::OperationRowKey(kOrganisation, request->key);
  }
  ++counts_.sent;
  pending_[submission->request_id] = submission;
  const std::shared_ptr<core::request_executor> executor =
      core::request_executor::Create(
          router->dependencies(), description,
          std::make_shared<checking_sink>(*this, submission));
  submission->executor = executor;
  router->process().Event([executor] { executor->Start(); })();
  time_.Schedule(kCallerTimeout, [this, submission] {
    if (submission->ends == 0) ResendLater(submission->request);
  });
  if (random_.Uniform() >= kDisconnectShare) return;
  const common::duration disconnect_delay(random_.Below(500000));
  time_.Schedule(disconnect_delay, [weak = submission->executor,
                                    raw = router.get(), submission, this] {
    const std::shared_ptr<core::request_executor> live = weak.lock();
    const bool pending = pending_.contains(submission->request_id);
    if (!live || !pending || raw->process().paused()) return;
    live->OnCallerDisconnected();
  });
}

void callers::ResendLater(const std::shared_ptr<logical_request>& request) {
  if (request->resends_left == 0) return;
  --request->resends_left;
  const bool other_body =
      !request->key.empty() && random_.Uniform() < kMismatchedBodyShare;
  time_.Schedule(common::duration(random_.Below(kMaxResendDelayUs)),
                 [this, request, other_body] { Send(request, other_body); });
}

void callers::OnEnd(const std::shared_ptr<submitted_request>& submission,
                    const core::request_result& result) {
  ++submission->ends;
  pending_.erase(submission->request_id);
  common::CheckInvariant(submission->ends == 1, "one_end_per_request",
                         submission->request_id);
  const bool keyed = !submission->row_key.empty();
  if (result.code == result_code::kOk) {
    ++counts_.complete;
    CheckComplete(*submission, result);
    submission->request->settled = true;
    if (keyed && random_.Uniform() < kResendAfterSuccessShare) {
      ResendLater(submission->request);
    }
    return;
  }
  if (result.execution == execution_status::kNotRun) {
    ++counts_.not_run;
    if (keyed) {
      execution_log_.RecordNotRun(submission->request_id, submission->row_key,
                                  submission->digest, submission->sent_at);
    }
  } else if (result.execution == execution_status::kUnknown) {
    ++counts_.unknown;
  } else {
    ++counts_.done_incomplete;
    common::CheckInvariant(keyed && execution_log_.Ran(submission->row_key),
                           "done_is_true", submission->request_id);
  }
  ResendLater(submission->request);
}

void callers::CheckComplete(const submitted_request& submission,
                            const core::request_result& result) const {
  // An operation that ran for one body must not answer a request with the
  // other body under the same key.
  common::CheckInvariant(
      submission.row_key.empty() || execution_log_.Ran(submission.row_key),
      "done_is_true", submission.request_id);
  const std::string body = submission.body_differs ? "{\"order\":\"other\"}"
                                                   : submission.request->body;
  const bool engine = submission.request->pipeline != "booking";
  const std::string text = engine ? EngineText(body) : "";
  common::CheckInvariant(submission.streamed == text, "stream_is_own_and_whole",
                         submission.request_id + " got '" +
                             submission.streamed + "' for '" + text + "'");
  const std::string expected =
      engine ? json(text).dump() : StageResult("book", body);
  common::CheckInvariant(
      result.result == expected, "result_is_own_and_whole",
      submission.request_id + " got " + result.result + " for " + expected);
}

void callers::OnRouterCrash(const router_node* router) {
  std::vector<std::shared_ptr<submitted_request>> lost;
  for (const auto& [id, submission] : pending_) {
    if (submission->router == router) lost.push_back(submission);
  }
  for (const std::shared_ptr<submitted_request>& submission : lost) {
    ++counts_.lost_with_router;
    submission->ends = 1;
    pending_.erase(submission->request_id);
    ResendLater(submission->request);
  }
}

void callers::CheckQuiescent() const {
  common::CheckInvariant(
      pending_.empty(), "every_request_ends",
      std::to_string(pending_.size()) + " are still open" +
          (pending_.empty()
               ? ""
               : ", one of " + pending_.begin()->second->request->pipeline +
                     " with its executor " +
                     (pending_.begin()->second->executor.expired() ? "gone"
                                                                   : "alive")));
}

}  // namespace wisteriadale::longrun
