#include <benchmark/benchmark.h>

#include <string>

#include "core/admission/early_admission.h"
#include "core/admission/fair_queue.h"
#include "core/admission/stage_budget.h"
#include "core/configuration/configuration.h"
#include "unit_tests/benchmarks/allocation_count.h"
#include "unit_tests/fakes/virtual_time.h"

namespace wisteriadale::benchmarks {
namespace {

std::vector<std::string> OrganisationNames(int64_t count) {
  std::vector<std::string> names;
  names.reserve(static_cast<size_t>(count));
  for (int64_t i = 0; i < count; ++i) {
    names.push_back("organisation-" + std::to_string(i));
  }
  return names;
}

/// Admission of a request at a router: the organisation's quota, then the
/// latency quantiles of the stages against the deadline.
void AdmissionAtTheRouter(benchmark::State& state) {
  fakes::virtual_time time;
  core::stage_latencies latencies;
  core::pipeline_plan plan;
  plan.name = "care";
  plan.stages = {{"encode"}, {"retrieve"}, {"rerank"}, {"generate"}};
  for (int i = 0; i < 100; ++i) {
    for (size_t stage = 0; stage < plan.stages.size(); ++stage) {
      latencies.Add(core::StageKey(plan, stage), std::chrono::milliseconds(50));
    }
  }
  const core::stage_budget budget({}, latencies);
  core::distributed_quota quotas(time, "r1");
  core::early_admission admission(time, budget, quotas, 1000);
  const std::vector<std::string> names = OrganisationNames(state.range(0));
  core::admission_context context;
  context.deadline = std::chrono::seconds(5);
  context.plan = &plan;
  size_t next = 0;
  const allocation_meter meter(state);
  for (auto unused : state) {
    context.organisation = names[next++ % names.size()];
    time.Advance(common::duration(10));
    benchmark::DoNotOptimize(admission.Refusal(context));
  }
}

/// Admission of an attempt at an agent: check, enqueue, dequeue. The queue
/// holds one attempt for each organisation, up to its bound.
void AdmissionAtTheAgent(benchmark::State& state) {
  core::fair_queue queue({.bound = 64});
  const std::vector<std::string> names = OrganisationNames(state.range(0));
  core::queue_load load;
  load.limit = 16;
  load.running = 16;
  load.service_time = std::chrono::milliseconds(10);
  size_t next = 0;
  const auto enqueue = [&] {
    core::queued_attempt attempt;
    attempt.id = std::to_string(next);
    attempt.organisation = names[next++ % names.size()];
    attempt.deadline = load.now + std::chrono::seconds(5);
    if (!queue.Refusal(attempt, load)) queue.Push(std::move(attempt));
  };
  for (size_t i = 0; i < std::min<size_t>(names.size(), 64); ++i) enqueue();
  const allocation_meter meter(state);
  for (auto unused : state) {
    enqueue();
    benchmark::DoNotOptimize(queue.Pop(load));
  }
}

std::string ConfigurationDocument(int64_t organisations) {
  std::string text =
      R"({"preset": "p", "presets": {"p": {}}, "pipelines": {)"
      R"("care": {"stages": [{"name": "encode", "pool": "encoder"}]}},)"
      R"("organisations": {)";
  for (int64_t i = 0; i < organisations; ++i) {
    std::string digits = std::to_string(i);
    const std::string key = std::string(64 - digits.size(), '0') + digits;
    if (i > 0) text.append(",");
    text.append("\"organisation-").append(digits).append("\": {");
    text.append("\"weight\": 1, \"key_sha256\": \"").append(key).append("\"}");
  }
  return text + "}}";
}

void ApplyConfiguration(benchmark::State& state) {
  const std::string document = ConfigurationDocument(state.range(0));
  state.counters["document_bytes"] = static_cast<double>(document.size());
  const allocation_meter meter(state);
  for (auto unused : state) {
    benchmark::DoNotOptimize(core::ParseConfiguration(document, 1));
  }
}

BENCHMARK(AdmissionAtTheRouter)->Arg(5)->Arg(200)->Arg(3200);
BENCHMARK(AdmissionAtTheAgent)->Arg(5)->Arg(200)->Arg(3200);
BENCHMARK(ApplyConfiguration)->Arg(5)->Arg(200)->Arg(3200);

}  // namespace
}  // namespace wisteriadale::benchmarks
