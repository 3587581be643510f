#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>

#include "load/answer_check.h"
#include "load/summary.h"
#include "standin/target_service.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

TEST_GROUP(Load){load::load_plan Plan(const std::string& phases){
    const std::string text = R"({"seed":7,"phases":)" + phases + R"(,
      "kinds":[{"pipeline":"a","deadline_ms":100}],
      "organisations":[{"name":"x","key":"k","share":3},
                       {"name":"y","key":"l","share":1}],
      "recovery_from":1})";
return load::ParsePlan(text).value();
}

load::run_record RecordOf(const load::load_plan& plan) {
  load::run_record record;
  for (const load::arrival& planned : load::GenerateArrivals(plan)) {
    load::sample outcome;
    outcome.planned = planned;
    outcome.complete = true;
    outcome.in_time = planned.at_seconds < 1 || planned.at_seconds >= 2;
    outcome.code = "ok";
    outcome.answer_ms = outcome.in_time ? 10 : 200;
    outcome.attempts = 2;
    outcome.stages = 1;
    record.samples.push_back(outcome);
  }
  return record;
}
}
;

TEST(Load, ArrivalsDependOnTheSeedAndMatchTheRate) {
  const load::load_plan plan = Plan(R"([{"seconds":10,"rate":200}])");
  const std::vector<load::arrival> first = load::GenerateArrivals(plan);
  const std::vector<load::arrival> second = load::GenerateArrivals(plan);
  LONGS_EQUAL(first.size(), second.size());
  DOUBLES_EQUAL(first.back().at_seconds, second.back().at_seconds, 0);
  // Four standard deviations of a Poisson count of 2000.
  DOUBLES_EQUAL(2000, static_cast<double>(first.size()), 180);
}

TEST(Load, HeavyOrganisationKeepsTheRateOfTheOthers) {
  const load::load_plan plan =
      Plan(R"([{"seconds":10,"rate":200,"heavy":"y","heavy_factor":10}])");
  double others = 0;
  const std::vector<load::arrival> arrivals = load::GenerateArrivals(plan);
  for (const load::arrival& planned : arrivals) {
    if (planned.organisation == 0) ++others;
  }
  DOUBLES_EQUAL(1500, others, 155);
  DOUBLES_EQUAL(6500, static_cast<double>(arrivals.size()), 325);
}

TEST(Load, AnswerIsCheckedAgainstItsRequest) {
  const std::string request = R"({"q":1})";
  json input = {{"request", json::parse(request)}, {"results", json::object()}};
  input["results"]["encode"] = {{"stage", "encode"},
                                {"target", "e-1"},
                                {"digest", standin::InputDigest(input.dump())}};
  json answer = {
      {"complete", true},
      {"stages",
       {{{"stage", "encode"}, {"target", "e-1"}}, {{"stage", "generate"}}}},
      {"result", standin::GeneratedText(input.dump(), 5)}};
  const auto check = [&answer](const std::string& body) {
    return load::CheckAnswer(body, answer.dump(), 5);
  };
  CHECK(check(request) == load::answer_check::kCorrect);
  CHECK(check(R"({"q":2})") == load::answer_check::kForeign);
  answer["complete"] = false;
  CHECK(check(request) == load::answer_check::kIncomplete);
}

TEST(Load, SummaryCountsLateAnswersAndFindsRecovery) {
  const load::load_plan plan = Plan(R"([{"seconds":5,"rate":100}])");
  const json summary =
      json::parse(load::SummaryJson(plan, RecordOf(plan), "c"));
  DOUBLES_EQUAL(0.8, summary["attainment"].get<double>(), 0.05);
  DOUBLES_EQUAL(1, summary["retries_per_request"].get<double>(), 0);
  LONGS_EQUAL(1, summary["recovery_seconds"].get<int>());
  DOUBLES_EQUAL(200, summary["answer_p99_ms"].get<double>(), 0);
  CHECK_FALSE(summary["latency_histogram"].empty());
  const std::string html = load::ReportHtml(summary.dump());
  CHECK(html.find("<svg") != std::string::npos);
  CHECK(html.find("http://") == std::string::npos);
}

TEST(Load, InvalidPlanIsRejected) {
  CHECK_FALSE(load::ParsePlan("{").has_value());
  CHECK_FALSE(load::ParsePlan(R"({"phases":[]})").has_value());
}
