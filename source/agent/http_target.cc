#include "agent/http_target.h"

#include <nlohmann/json.hpp>

namespace wisteriadale::agent {
namespace {

using common::result_code;
using nlohmann::json;

constexpr int kStatusOk = 200;
// Health probes of a target that was lost.
constexpr common::duration kProbePeriod = std::chrono::milliseconds(200);
constexpr common::duration kProbeTimeout = std::chrono::seconds(1);
// Time past the deadline in which the target can report that it stopped.
constexpr common::duration kResponseMargin = std::chrono::seconds(2);
// Work that must not run twice is waited for past its deadline.
constexpr common::duration kOperationTimeout = std::chrono::minutes(2);

std::string RunBody(const core::execute_message& execute) {
  json body = {{"attempt_id", execute.attempt_id},
               {"organisation", execute.organisation},
               {"stage", execute.stage},
               {"input", json::parse(execute.input, nullptr, false)},
               {"remaining_ms", execute.remaining.count()},
               {"prefix_key", execute.prefix_key},
               {"stream_prefix", execute.stream_prefix},
               {"digest", execute.digest}};
  if (!execute.operation_token.empty()) {
    body["operation_token"] = execute.operation_token;
    body["operation_key"] = execute.operation_key;
  }
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

void http_target::Run(const core::execute_message& execute,
                      core::target_observer* observer) {
  const std::string id = execute.attempt_id;
  common::span_record span;
  span.context = common::ChildOf(execute.trace, random_);
  span.name = "target " + execute.stage;
  span.start_us = clock_.WallMicros();
  span.attributes = {{"request_id", execute.request_id},
                     {"attempt_id", execute.attempt_id}};
  net::http_call call;
  call.method = "POST";
  call.to = target_;
  call.path = "/run";
  call.headers = {{"content-type", "application/json"},
                  {"traceparent", span.context.Header()}};
  call.body = RunBody(execute);
  call.timeout = execute.operation_token.empty()
                     ? common::duration(execute.remaining) + kResponseMargin
                     : kOperationTimeout;
  run& current = runs_[id];
  current.observer = observer;
  current.span = std::move(span);
  current.transfer = net::StartHttpCall(
      loop_, std::move(call),
      [this, id](const net::http_result& result) { OnDone(id, result); },
      [this, id](std::string_view data) { OnBytes(id, data); });
}

void http_target::Cancel(std::string_view attempt_id) {
  const auto found = runs_.find(std::string(attempt_id));
  if (found == runs_.end()) return;
  found->second.transfer->Cancel();
  runs_.erase(found);
}

void http_target::CallWhenAvailable(const std::function<void()>& action) {
  loop_.Schedule(kProbePeriod, [this, action] {
    net::http_call call;
    call.to = target_;
    call.path = "/healthz";
    call.timeout = kProbeTimeout;
    net::StartHttpCall(loop_, std::move(call),
                       [this, action](const net::http_result& result) {
                         if (result.complete && result.status == kStatusOk) {
                           action();
                         } else {
                           CallWhenAvailable(action);
                         }
                       });
  });
}

void http_target::OnBytes(const std::string& attempt_id,
                          std::string_view data) {
  const auto found = runs_.find(attempt_id);
  if (found == runs_.end()) return;
  run& current = found->second;
  current.partial_line.append(data);
  size_t start = 0;
  for (size_t end = current.partial_line.find('\n'); end != std::string::npos;
       end = current.partial_line.find('\n', start)) {
    OnLine(attempt_id, &current,
           std::string_view(current.partial_line).substr(start, end - start));
    start = end + 1;
  }
  current.partial_line.erase(0, start);
}

void http_target::OnLine(const std::string& attempt_id, run* current,
                         std::string_view line) {
  const json parsed = json::parse(line, nullptr, false);
  if (!parsed.is_object()) return;
  if (parsed.contains("chunk") && parsed["chunk"].is_string()) {
    current->observer->OnTargetChunk(attempt_id,
                                     parsed["chunk"].get<std::string>());
    return;
  }
  if (parsed.contains("error")) {
    current->finished = true;
    current->result.code = result_code::kTargetFailed;
    current->result.reason = parsed.value("error", "");
    return;
  }
  if (!parsed.value("done", false)) return;
  current->finished = true;
  current->result.code = result_code::kOk;
  if (parsed.contains("result")) {
    current->result.result = parsed["result"].dump();
  }
}

void http_target::OnDone(const std::string& attempt_id,
                         const net::http_result& result) {
  const auto found = runs_.find(attempt_id);
  if (found == runs_.end()) return;
  run current = std::move(found->second);
  runs_.erase(found);
  core::target_result ended = current.result;
  if (result.status != 0 && result.status != kStatusOk) {
    ended.code = result_code::kTargetFailed;
    ended.reason = "status " + std::to_string(result.status);
  } else if (!current.finished) {
    ended.code =
        result.status == 0 ? result_code::kTargetLost : result_code::kAnswerCut;
    ended.reason = result.failure;
    // A target that could not be reached was down before this attempt.
    ended.crashed = result.connected && result.failure != "timeout";
  }
  current.span.end_us = clock_.WallMicros();
  current.span.ok = ended.code == result_code::kOk;
  common::EmitSpan(current.span);
  current.observer->OnTargetResult(attempt_id, ended);
}

}  // namespace wisteriadale::agent
