#include <CppUTest/TestHarness.h>

#include <map>
#include <string>
#include <vector>

#include "core/pipeline/request_executor.h"
#include "unit_tests/fakes/fake_table.h"
#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using common::result_code;
using std::chrono::milliseconds;

namespace {

/// Simulates the agents: each target answers after its own service time. One
/// without a service time is stuck and never answers.
class fake_agents final : public core::agent_sender {
 public:
  explicit fake_agents(fakes::virtual_time& time) : time_(time) {}

  bool Send(std::string_view target, const core::message& message) override {
    if (std::holds_alternative<core::cancel_message>(message)) ++cancels;
    const core::execute_message* execute =
        std::get_if<core::execute_message>(&message);
    if (execute == nullptr) return true;
    ++executes;
    const std::string name(target);
    if (!service_time.contains(name)) return true;
    core::outcome_message outcome;
    outcome.attempt_id = execute->attempt_id;
    outcome.organisation = execute->organisation;
    outcome.code = codes.contains(name) ? codes[name] : result_code::kOk;
    outcome.result = "\"" + name + "\"";
    time_.Schedule(service_time[name], [this, name, outcome] {
      attempts->OnOutcome(name, outcome);
    });
    return true;
  }

  core::attempt_table* attempts = nullptr;
  std::map<std::string, common::duration> service_time;
  std::map<std::string, result_code> codes;
  int executes = 0;
  int cancels = 0;

 private:
  fakes::virtual_time& time_;
};

class result_sink final : public core::request_sink {
 public:
  void OnData(std::string_view) override {}
  void OnEnd(const core::request_result& result) override {
    results.push_back(result);
  }
  std::vector<core::request_result> results;
};

constexpr char kPlain[] = R"({"preset": "p", "presets": {"p": {}},
  "pipelines": {"stock": {"stages": [{"name": "look", "pool": "stock"}]}}})";
constexpr char kHedged[] = R"({"preset": "p", "presets": {"p": {
  "hedging": true, "hedge_quantile": 0.9, "deadlines": "whole"}},
  "pipelines": {"stock": {"stages": [{"name": "look", "pool": "stock"}]}}})";
constexpr char kImmediate[] = R"({"preset": "p", "presets": {"p": {
  "retry": "immediate"}},
  "pipelines": {"stock": {"stages": [{"name": "look", "pool": "stock"}]}}})";

}  // namespace

TEST_GROUP(ExecutorAttempts) {
  fakes::virtual_time time;
  common::seeded_random random{5};
  fakes::fake_table rows{time, random};
  core::target_table targets;
  fake_agents agents{time};
  core::attempt_table attempts{agents, time, milliseconds(2000)};
  core::operation_store operations{rows, time, time, random};
  core::policy_provider policies{time, random, {"r1", "a"}};
  core::executor_dependencies dependencies{
      time, time, random, targets, policies, attempts, operations, "r1"};

  void setup() override {
    agents.attempts = &attempts;
    time.Advance(std::chrono::hours(1));
    for (const char* id : {"good", "bad"}) {
      core::target_view* view = targets.FindOrCreate(id, "stock", "a");
      view->connected = true;
      view->incarnation = 1;
      view->load.limit = 8;
    }
    agents.service_time["good"] = milliseconds(10);
    for (int i = 0; i < 300; ++i) {
      policies.state().latencies.Add("stock/look", milliseconds(10));
    }
  }

  core::request_result Run(const char* document) {
    core::request_description description;
    description.id = random.HexId();
    description.organisation = "parks";
    description.body = "{}";
    description.deadline = milliseconds(2000);
    description.configuration_in_force =
        core::ParseConfiguration(document, 1).value();
    description.plan =
        *description.configuration_in_force->FindPipeline("stock");
    const std::shared_ptr<result_sink> sink = std::make_shared<result_sink>();
    core::request_executor::Create(dependencies, description, sink)->Start();
    time.Advance(milliseconds(2100));
    CHECK_EQUAL(1, static_cast<int>(sink->results.size()));
    return sink->results.front();
  }
};

TEST(ExecutorAttempts, StuckTargetIsReplacedAfterTheAttemptTimeout) {
  for (int i = 0; i < 20; ++i) {
    const core::request_result result = Run(kPlain);
    CHECK(result.code == result_code::kOk);
    CHECK(result.stages[0].took < milliseconds(500));
  }
  CHECK(agents.cancels > 0);
  CHECK_EQUAL(0, static_cast<int>(attempts.size()));
  CHECK_EQUAL(0U, targets.Find("bad")->local_in_flight);
}

TEST(ExecutorAttempts, HedgeOvertakesASlowTargetWhichIsCancelled) {
  agents.service_time["bad"] = milliseconds(1000);
  int hedged = 0;
  for (int i = 0; i < 8; ++i) {
    const int before = agents.executes;
    const core::request_result result = Run(kHedged);
    CHECK(result.code == result_code::kOk);
    const bool hedge_sent = agents.executes - before == 2;
    hedged += hedge_sent ? 1 : 0;
    if (hedge_sent) CHECK(result.stages[0].took < milliseconds(60));
  }
  CHECK(hedged > 0);
  CHECK(hedged <= 3);  // the retry budget
  CHECK_EQUAL(hedged, agents.cancels);
  CHECK_EQUAL(0, static_cast<int>(attempts.size()));
}

TEST(ExecutorAttempts, RetriesOfAFailingPoolStayWithinTheBudget) {
  agents.service_time["bad"] = milliseconds(10);
  agents.codes = {{"good", result_code::kTargetFailed},
                  {"bad", result_code::kTargetFailed}};
  for (int i = 0; i < 50; ++i) Run(kPlain);
  CHECK(agents.executes <= 52);
  agents.executes = 0;
  for (int i = 0; i < 50; ++i) Run(kImmediate);
  CHECK_EQUAL(200, agents.executes);  // without a budget: four attempts each
}

TEST(ExecutorAttempts, NewRequestsUseTheNewPreset) {
  Run(kPlain);
  CHECK(policies
            .GetOrCreate(core::ParseConfiguration(kPlain, 1).value()->Preset())
            ->preset()
            .retry == "budget");
  agents.codes = {{"good", result_code::kTargetFailed},
                  {"bad", result_code::kTargetFailed}};
  agents.service_time["bad"] = milliseconds(10);
  agents.executes = 0;
  Run(kImmediate);
  CHECK_EQUAL(4, agents.executes);
}
