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
constexpr common::duration kCallerPatience = std::chrono::seconds(5);
constexpr uint32_t kResends = 3;
constexpr int64_t kResendDelayUs = 2000000;
constexpr double kTwoRoutersShare = 0.2;
constexpr double kOtherBodyShare = 0.05;
constexpr double kHangUpShare = 0.03;
constexpr double kResendAfterWholeShare = 0.1;

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
  std::shared_ptr<core::configuration> made =
      std::make_shared<core::configuration>();
  made->version = 1;
  made->preset = "ordinary";
  made->presets["ordinary"].name = "ordinary";
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
  made->pipelines = {
      {"answer", answer}, {"booking", booking}, {"deposit", deposit}};
  return made;
}

}  // namespace

/// Hands a request's answer to the callers that check it.
class checked_sink final : public core::request_sink {
 public:
  checked_sink(callers& owner, std::shared_ptr<callers::send> what)
      : owner_(owner), what_(std::move(what)) {}

  void OnData(std::string_view data) override {
    common::CheckInvariant(what_->ends == 0, "data_before_end",
                           what_->request_id);
    what_->streamed.append(data);
  }
  void OnEnd(const core::request_result& result) override {
    owner_.OnEnd(what_, result);
  }

 private:
  callers& owner_;
  std::shared_ptr<callers::send> what_;
};

callers::callers(fakes::virtual_time& time, common::random_source& random,
                 ledger& runs, router_list& routers)
    : time_(time),
      random_(random),
      ledger_(runs),
      routers_(routers),
      configuration_(MakeConfiguration()) {}

void callers::SendNew() {
  constexpr const char* kPipelines[] = {"answer", "booking", "booking",
                                        "deposit"};
  const std::shared_ptr<order> made = std::make_shared<order>();
  made->pipeline = kPipelines[random_.Below(4)];
  const uint64_t number = next_order_++;
  made->body = json{{"order", number}}.dump();
  if (made->pipeline != "answer") made->key = "k" + std::to_string(number);
  made->resends_left = kResends;
  Send(made, false);
  if (made->key.empty() || random_.Uniform() >= kTwoRoutersShare) return;
  const bool other_body = random_.Uniform() < kOtherBodyShare;
  const common::duration gap(random_.Below(30000));
  time_.Schedule(gap, [this, made, other_body] { Send(made, other_body); });
}

void callers::Send(const std::shared_ptr<order>& of, bool other_body) {
  const std::shared_ptr<router_node> router =
      routers_[random_.Below(routers_.size())];
  if (!router) {
    ResendLater(of);
    return;
  }
  const std::shared_ptr<send> what = std::make_shared<send>();
  what->of = of;
  what->at = time_.Now();
  what->router = router.get();
  what->body_differs = other_body;
  what->request_id = random_.HexId();
  core::request_description description;
  description.id = what->request_id;
  description.organisation = kOrganisation;
  description.body = other_body ? "{\"order\":\"other\"}" : of->body;
  description.digest =
      common::Sha256Hex(of->pipeline + "\n" + description.body);
  what->digest = description.digest;
  description.idempotency_key = of->key;
  description.deadline = kDeadline;
  description.plan = configuration_->pipelines.at(of->pipeline);
  description.configuration_in_force = configuration_;
  if (!of->key.empty()) {
    what->row_key = core::OperationRowKey(kOrganisation, of->key);
  }
  ++counts_.sent;
  open_[what->request_id] = what;
  const std::shared_ptr<core::request_executor> executor =
      core::request_executor::Create(
          router->context(), description,
          std::make_shared<checked_sink>(*this, what));
  what->executor = executor;
  router->process().Event([executor] { executor->Start(); })();
  time_.Schedule(kCallerPatience, [this, what] {
    if (what->ends == 0) ResendLater(what->of);
  });
  if (random_.Uniform() >= kHangUpShare) return;
  const common::duration hang_up(random_.Below(500000));
  time_.Schedule(
      hang_up, [weak = what->executor, raw = router.get(), what, this] {
        const std::shared_ptr<core::request_executor> live = weak.lock();
        const bool open = open_.contains(what->request_id);
        if (!live || !open || raw->process().paused()) return;
        live->OnCallerDisconnected();
      });
}

void callers::ResendLater(const std::shared_ptr<order>& of) {
  if (of->resends_left == 0) return;
  --of->resends_left;
  const bool other_body =
      !of->key.empty() && random_.Uniform() < kOtherBodyShare;
  time_.Schedule(common::duration(random_.Below(kResendDelayUs)),
                 [this, of, other_body] { Send(of, other_body); });
}

void callers::OnEnd(const std::shared_ptr<send>& what,
                    const core::request_result& result) {
  ++what->ends;
  open_.erase(what->request_id);
  common::CheckInvariant(what->ends == 1, "one_end_per_request",
                         what->request_id);
  const bool keyed = !what->row_key.empty();
  if (result.code == result_code::kOk) {
    ++counts_.whole;
    CheckWhole(*what, result);
    what->of->settled = true;
    if (keyed && random_.Uniform() < kResendAfterWholeShare) {
      ResendLater(what->of);
    }
    return;
  }
  if (result.execution == execution_status::kNotRun) {
    ++counts_.not_run;
    if (keyed) {
      ledger_.ToldNotRun(what->request_id, what->row_key, what->digest,
                         what->at);
    }
  } else if (result.execution == execution_status::kUnknown) {
    ++counts_.unknown;
  } else {
    ++counts_.done_not_whole;
    common::CheckInvariant(keyed && ledger_.Ran(what->row_key), "done_is_true",
                           what->request_id);
  }
  ResendLater(what->of);
}

void callers::CheckWhole(const send& what,
                         const core::request_result& result) const {
  // An operation that ran under the other body answers only that body.
  common::CheckInvariant(what.row_key.empty() || ledger_.Ran(what.row_key),
                         "done_is_true", what.request_id);
  const std::string body =
      what.body_differs ? "{\"order\":\"other\"}" : what.of->body;
  const bool engine = what.of->pipeline != "booking";
  const std::string text = engine ? EngineText(body) : "";
  common::CheckInvariant(
      what.streamed == text, "stream_is_own_and_whole",
      what.request_id + " got '" + what.streamed + "' for '" + text + "'");
  const std::string wanted =
      engine ? json(text).dump() : StageResult("book", body);
  common::CheckInvariant(
      result.result == wanted, "result_is_own_and_whole",
      what.request_id + " got " + result.result + " for " + wanted);
}

void callers::RouterDied(const router_node* router) {
  std::vector<std::shared_ptr<send>> lost;
  for (const auto& [id, what] : open_) {
    if (what->router == router) lost.push_back(what);
  }
  for (const std::shared_ptr<send>& what : lost) {
    ++counts_.lost_with_router;
    what->ends = 1;
    open_.erase(what->request_id);
    ResendLater(what->of);
  }
}

void callers::CheckAtRest() const {
  common::CheckInvariant(
      open_.empty(), "every_request_ends",
      std::to_string(open_.size()) + " are still open" +
          (open_.empty()
               ? ""
               : ", one of " + open_.begin()->second->of->pipeline +
                     " with its executor " +
                     (open_.begin()->second->executor.expired() ? "gone"
                                                                : "alive")));
}

}  // namespace wisteriadale::longrun
