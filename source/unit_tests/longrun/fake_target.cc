#include "unit_tests/longrun/fake_target.h"

#include <nlohmann/json.hpp>
#include <vector>

#include "common/digest.h"
#include "common/invariant.h"

namespace wisteriadale::longrun {
namespace {

using common::result_code;
using nlohmann::json;

constexpr size_t kTextBytes = 160;
constexpr size_t kChunkBytes = 16;
constexpr int64_t kServiceUs = 20000;
constexpr int64_t kSlowFactor = 40;
constexpr char kEngineStage[] = "generate";

std::string BodyOf(const core::execute_message& execute) {
  return json::parse(execute.input).at("request").dump();
}

}  // namespace

std::string EngineText(const std::string& body) {
  common::seeded_random random(common::Hash64(body));
  std::string text;
  while (text.size() < kTextBytes) text += random.HexId();
  return text;
}

std::string StageResult(const std::string& stage, const std::string& body) {
  return json{{"stage", stage}, {"for", common::Hash64(body)}}.dump();
}

common::duration fake_target::ServiceTime() {
  const int64_t base = static_cast<int64_t>(1 + random_.Below(kServiceUs));
  return common::duration(faults.slow ? base * kSlowFactor : base);
}

void fake_target::Run(const core::execute_message& execute,
                      core::target_observer* observer) {
  run& current = runs_[execute.attempt_id];
  current.execute = execute;
  current.observer = observer;
  current.serial = next_serial_++;
  if (!execute.operation_token.empty()) {
    execution_log_.Add({execute.operation_key, execute.operation_token,
                        execute.request_id, execute.digest, id_, time_.Now()});
  }
  if (execute.stage == kEngineStage) {
    current.text = EngineText(BodyOf(execute));
    current.position = execute.stream_prefix.size();
    common::CheckInvariant(current.text.starts_with(execute.stream_prefix),
                           "stream_prefix_is_own", execute.request_id);
  }
  time_.Schedule(ServiceTime(),
                 [this, id = execute.attempt_id, serial = current.serial] {
                   Step(id, serial);
                 });
}

void fake_target::Step(const std::string& attempt_id, uint64_t serial) {
  const auto found = runs_.find(attempt_id);
  if (found == runs_.end() || found->second.serial != serial) return;
  run& current = found->second;
  if (random_.Uniform() < faults.crash_share) {
    Crash();
    return;
  }
  if (random_.Uniform() < faults.failure_share) {
    Finish(attempt_id, {result_code::kTargetFailed, "failed", "", false});
    return;
  }
  if (current.position < current.text.size()) {
    if (random_.Uniform() < faults.truncation_share) {
      Finish(attempt_id, {result_code::kAnswerCut, "cut", "", false});
      return;
    }
    const std::string part = current.text.substr(current.position, kChunkBytes);
    current.position += part.size();
    time_.Schedule(ServiceTime() / 8,
                   [this, attempt_id, serial] { Step(attempt_id, serial); });
    if (current.observer != nullptr) {
      current.observer->OnTargetChunk(attempt_id, part);
    }
    return;
  }
  const std::string result =
      current.text.empty()
          ? StageResult(current.execute.stage, BodyOf(current.execute))
          : "";
  Finish(attempt_id, {result_code::kOk, "", result, false});
}

void fake_target::Finish(const std::string& attempt_id,
                         const core::target_result& result) {
  const auto found = runs_.find(attempt_id);
  if (found == runs_.end()) return;
  core::target_observer* observer = found->second.observer;
  const std::string token = found->second.execute.operation_token;
  if (!token.empty() && result.code == result_code::kOk) {
    execution_log_.RecordSuccess(token);
  }
  runs_.erase(found);
  if (observer != nullptr) observer->OnTargetResult(attempt_id, result);
}

void fake_target::Crash() {
  std::vector<std::string> lost;
  for (const auto& [id, current] : runs_) lost.push_back(id);
  for (const std::string& id : lost) {
    Finish(id, {result_code::kTargetLost, "crashed", "", true});
  }
}

void fake_target::Cancel(std::string_view attempt_id) {
  runs_.erase(std::string(attempt_id));
}

void fake_target::Detach() { runs_.clear(); }

}  // namespace wisteriadale::longrun
