#include "router/caller_api.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "common/digest.h"
#include "common/log.h"
#include "common/metrics.h"

namespace wisteriadale::router {
namespace {

using common::result_code;
using nlohmann::json;

constexpr char kRequestPrefix[] = "/v1/pipelines/";
constexpr char kRequestSuffix[] = "/requests";
constexpr char kRecentPrefix[] = "/v1/requests/";
constexpr char kOperationPrefix[] = "/v1/operations/";
constexpr char kBearer[] = "Bearer ";
constexpr char kJson[] = "application/json";
// For retryable errors that set no delay of their own.
constexpr int kDefaultRetryAfterMs = 200;
constexpr size_t kMaxIdempotencyKeyBytes = 256;

std::string_view NameOf(core::execution_status fate) {
  constexpr std::string_view kNames[] = {"done", "not_run", "unknown"};
  return kNames[static_cast<int>(fate)];
}

json ErrorJson(result_code code, std::string_view detail, std::string_view fate,
               int64_t retry_after_ms = kDefaultRetryAfterMs) {
  const common::result_code_info& info = common::Describe(code);
  json error = {{"code", static_cast<int>(code)},
                {"name", info.name},
                {"message", detail.empty() ? info.meaning : detail},
                {"outcome", fate}};
  if (info.retryable) error["retry_after_ms"] = retry_after_ms;
  return {{"error", error}, {"complete", false}};
}

json StagesJson(const core::request_result& result) {
  json stages = json::array();
  for (const core::stage_report& stage : result.stages) {
    stages.push_back({{"stage", stage.stage},
                      {"target", stage.target},
                      {"attempts", stage.attempts},
                      {"took_us", stage.took.count()},
                      {"target_us", stage.target_us}});
  }
  return stages;
}

std::string FormatEvent(std::string_view name, const json& data) {
  return "event: " + std::string(name) + "\ndata: " +
         data.dump(-1, ' ', false, json::error_handler_t::replace) + "\n\n";
}

/// @return the error for a request with a wrong method or header, or kOk
result_code CheckTransport(const net::http_request& request) {
  if (request.method != "POST") return result_code::kMethodNotAllowed;
  if (request.length_missing) return result_code::kLengthRequired;
  if (request.header_too_long) return result_code::kBadRequest;
  return result_code::kOk;
}

bool IsPipelineRequest(std::string_view path) {
  return path.starts_with(kRequestPrefix) && path.ends_with(kRequestSuffix);
}

/// @param path one that starts with kRequestPrefix and ends with kRequestSuffix
/// @return the pipeline's name, empty when there is none
std::string_view PipelineName(std::string_view path) {
  path.remove_prefix(sizeof(kRequestPrefix) - 1);
  const size_t suffix = sizeof(kRequestSuffix) - 1;
  return path.size() < suffix ? std::string_view()
                              : path.substr(0, path.size() - suffix);
}

/// @return the deadline that the caller requests, the pipeline's default when
/// it requests none, or nothing when the header is not a number in the range
std::optional<common::milliseconds> ReadDeadline(
    const net::http_request& request, const core::pipeline_plan& plan,
    int64_t max_deadline_ms) {
  const std::string_view text = request.Header("request-timeout-ms");
  if (text.empty()) return plan.default_deadline;
  const char* end = text.data() + text.size();
  int64_t wanted_ms = 0;
  const std::from_chars_result parsed =
      std::from_chars(text.data(), end, wanted_ms);
  const bool whole = parsed.ec == std::errc() && parsed.ptr == end;
  if (!whole || wanted_ms <= 0 || wanted_ms > max_deadline_ms) {
    return std::nullopt;
  }
  return common::milliseconds(wanted_ms);
}

bool IsPrintableAscii(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char character) {
    return character >= ' ' && character < 0x7f;
  });
}

/// Parses and validates a request to a pipeline.
/// @return kOk, or the code of the first error found
result_code ReadRequest(const net::http_request& request,
                        const core::pipeline_plan& plan,
                        int64_t max_deadline_ms,
                        core::request_description* description) {
  if (!json::accept(request.body)) return result_code::kMalformedJson;
  const std::optional<common::milliseconds> deadline =
      ReadDeadline(request, plan, max_deadline_ms);
  if (!deadline) return result_code::kBadDeadline;
  const std::string_view key = request.Header("idempotency-key");
  if (plan.HasNonIdempotentStage() &&
      (key.empty() || key.size() > kMaxIdempotencyKeyBytes ||
       !IsPrintableAscii(key))) {
    return result_code::kMissingIdempotencyKey;
  }
  description->deadline = *deadline;
  description->idempotency_key = key;
  description->body = request.body;
  description->digest = common::Sha256Hex(plan.name + "\n" + request.body);
  description->plan = plan;
  return result_code::kOk;
}

/// Each event of a stream carries a JSON string, so none may end inside a UTF-8
/// sequence.
/// @return number of bytes up to the end of the last complete sequence
size_t CompleteUtf8(std::string_view text) {
  size_t end = text.size();
  for (size_t back = 1; back <= 3 && back <= text.size(); ++back) {
    const unsigned char byte =
        static_cast<unsigned char>(text[text.size() - back]);
    if (byte < 0x80) break;
    if (byte < 0xc0) continue;
    size_t needed = 2;
    if (byte >= 0xf0) {
      needed = 4;
    } else if (byte >= 0xe0) {
      needed = 3;
    }
    if (needed > back) end = text.size() - back;
    break;
  }
  return end;
}

}  // namespace

/// Writes the response to one request, as JSON or as server-sent events.
class response_writer final : public core::request_sink {
 public:
  response_writer(caller_api& api,
                  std::shared_ptr<net::http_responder> responder,
                  core::request_description description, bool events)
      : api_(api),
        responder_(std::move(responder)),
        description_(std::move(description)),
        events_(events),
        started_(api.dependencies_.clock.Now()),
        started_wall_us_(api.dependencies_.clock.WallMicros()) {
    if (!events_) return;
    responder_->StartStream(200, "text/event-stream");
    // A caller whose stream breaks can query the request by this id.
    responder_->Write(
        FormatEvent("accepted", {{"request_id", description_.id}}));
  }

  void OnData(std::string_view data) override {
    if (!events_) return;
    partial_.append(data);
    const size_t size = CompleteUtf8(partial_);
    if (size == 0) return;
    responder_->Write(
        FormatEvent("token", {{"text", partial_.substr(0, size)}}));
    partial_.erase(0, size);
  }

  void OnEnd(const core::request_result& result) override {
    const bool ok = result.code == result_code::kOk;
    json answer =
        ok ? ResultJson(result)
           : ErrorJson(result.code, result.reason, NameOf(result.execution));
    answer["request_id"] = description_.id;
    answer["stages"] = StagesJson(result);
    const std::string text =
        answer.dump(-1, ' ', false, json::error_handler_t::replace);
    if (events_) {
      responder_->Write(FormatEvent(ok ? "complete" : "error", answer));
      responder_->Finish();
    } else {
      responder_->Send(common::Describe(result.code).http_status, kJson, text);
    }
    api_.recent_requests_.OnEnded(
        description_.id, common::Describe(result.code).http_status, text);
    RecordResult(result);
    api_.OnRequestEnded();
  }

 private:
  json ResultJson(const core::request_result& result) const {
    json value = json::parse(result.result, nullptr, false);
    if (value.is_discarded()) value = result.result;
    return {{"complete", true},
            {"result", value},
            {"configuration_version",
             description_.configuration_in_force->version}};
  }

  void RecordResult(const core::request_result& result) const {
    const std::string_view code = common::Describe(result.code).name;
    common::Metrics().Count(
        "wisteria_requests_total",
        {{"pipeline", description_.plan.name}, {"code", code}});
    common::Metrics().Observe("wisteria_request_seconds",
                              api_.dependencies_.clock.Now() - started_,
                              {{"pipeline", description_.plan.name}});
    common::Log(common::log_channel::kRequest, common::log_level::kDebug,
                "request ended: " + std::string(code),
                {description_.id, description_.trace.trace_id});
    common::span_record span;
    span.context = description_.trace;
    span.name = "request " + description_.plan.name;
    span.start_us = started_wall_us_;
    span.end_us = api_.dependencies_.clock.WallMicros();
    span.ok = result.code == result_code::kOk;
    span.attributes = {{"request_id", description_.id},
                       {"organisation", description_.organisation},
                       {"code", std::string(code)}};
    common::EmitSpan(span);
  }

  caller_api& api_;
  std::shared_ptr<net::http_responder> responder_;
  core::request_description description_;
  bool events_;
  common::time_point started_;
  int64_t started_wall_us_;
  std::string partial_;  ///< bytes of an incomplete UTF-8 sequence
};

void SendError(net::http_responder* responder, result_code code,
               std::string_view detail, std::string_view fate) {
  responder->Send(common::Describe(code).http_status, kJson,
                  ErrorJson(code, detail, fate).dump());
}

result_code BodyError(const net::http_request& request) {
  if (request.body_timed_out) return result_code::kSlowCaller;
  if (request.body_too_large) return result_code::kBodyTooLarge;
  return request.HasWholeBody() ? result_code::kOk : result_code::kOverloaded;
}

bool caller_api::Owns(std::string_view path) {
  return IsPipelineRequest(path) || path.starts_with(kRecentPrefix) ||
         path.starts_with(kOperationPrefix);
}

bool caller_api::IsRefusedByHead(const net::http_request& request) const {
  head_facts facts;
  return !IsPipelineRequest(request.path) ||
         CheckHead(request, &facts) != result_code::kOk;
}

bool caller_api::Handle(const net::http_request& request,
                        const std::shared_ptr<net::http_responder>& responder) {
  if (IsPipelineRequest(request.path)) {
    StartRequest(request, responder);
    return true;
  }
  if (request.path.starts_with(kRecentPrefix)) {
    SendRequestState(request, responder.get());
    return true;
  }
  if (request.path.starts_with(kOperationPrefix)) {
    SendOperation(request, responder);
    return true;
  }
  return false;
}

const core::organisation_entry* caller_api::Authenticate(
    const core::configuration& configuration,
    const net::http_request& request) const {
  const std::string_view header = request.Header("authorization");
  if (!header.starts_with(kBearer)) return nullptr;
  const std::string digest =
      common::Sha256Hex(header.substr(sizeof(kBearer) - 1));
  const core::organisation_entry* found = nullptr;
  for (const auto& [name, organisation] : configuration.organisations) {
    if (common::EqualInConstantTime(organisation.key_sha256, digest)) {
      found = &organisation;
    }
  }
  return found;
}

result_code caller_api::CheckHead(const net::http_request& request,
                                  head_facts* facts) const {
  facts->configuration = configuration_.current();
  if (!facts->configuration) return result_code::kNotReady;
  if (!admitting_) return result_code::kDraining;
  if (const result_code fault = CheckTransport(request);
      fault != result_code::kOk) {
    return fault;
  }
  facts->organisation = Authenticate(*facts->configuration, request);
  if (facts->organisation == nullptr) return result_code::kUnauthorised;
  facts->plan = facts->configuration->FindPipeline(PipelineName(request.path));
  return facts->plan == nullptr ? result_code::kUnknownPipeline
                                : result_code::kOk;
}

void caller_api::StartRequest(
    const net::http_request& request,
    const std::shared_ptr<net::http_responder>& responder) {
  head_facts facts;
  if (const result_code error = CheckHead(request, &facts);
      error != result_code::kOk) {
    SendError(responder.get(), error, "");
    return;
  }
  if (const result_code error = BodyError(request); error != result_code::kOk) {
    // An earlier request may have run an operation with this key.
    SendError(responder.get(), error, "",
              facts.plan->HasNonIdempotentStage() ? "unknown" : "not_run");
    return;
  }
  const std::shared_ptr<const core::configuration>& configuration =
      facts.configuration;
  const core::organisation_entry* organisation = facts.organisation;
  const core::pipeline_plan* plan = facts.plan;
  core::request_description description;
  if (const result_code fault =
          ReadRequest(request, *plan, limits_.max_deadline_ms, &description);
      fault != result_code::kOk) {
    SendError(responder.get(), fault, "");
    return;
  }
  if (RefuseUnlessAdmitted(*configuration, *organisation, *plan,
                           description.deadline, responder.get())) {
    return;
  }
  description.id = dependencies_.random.HexId();
  description.organisation = organisation->name;
  description.organisation_weight = organisation->weight;
  description.configuration_in_force = configuration;
  description.trace =
      common::ChildOf(common::ParseTraceparent(request.Header("traceparent"))
                          .value_or(common::trace_context()),
                      dependencies_.random);
  if (IsQuarantined(description)) {
    // An earlier request with the same key may have run.
    SendError(responder.get(), result_code::kDigestQuarantined, "",
              plan->HasNonIdempotentStage() ? "unknown" : "not_run");
    return;
  }
  Execute(std::move(description), responder,
          request.Header("accept").find("text/event-stream") !=
              std::string_view::npos);
}

bool caller_api::IsQuarantined(
    const core::request_description& description) const {
  return dependencies_.quarantined_requests != nullptr &&
         dependencies_.quarantined_requests->StatusOf(description.digest) ==
             core::quarantine_status::kQuarantined;
}

void caller_api::Execute(core::request_description description,
                         const std::shared_ptr<net::http_responder>& responder,
                         bool events) {
  ++in_flight_;
  recent_requests_.OnAdmitted(description.id, description.organisation);
  const std::shared_ptr<response_writer> sink =
      std::make_shared<response_writer>(*this, responder, description, events);
  const std::shared_ptr<core::request_executor> executor =
      core::request_executor::Create(dependencies_, std::move(description),
                                     sink);
  responder->SetDisconnectHandler(
      [weak = std::weak_ptr<core::request_executor>(executor)] {
        const std::shared_ptr<core::request_executor> live = weak.lock();
        if (live) live->OnCallerDisconnected();
      });
  executor->Start();
}

bool caller_api::RefuseUnlessAdmitted(
    const core::configuration& configuration,
    const core::organisation_entry& organisation,
    const core::pipeline_plan& plan, common::milliseconds deadline,
    net::http_responder* responder) {
  core::admission_context question;
  question.organisation = organisation.name;
  question.weight = organisation.weight;
  question.deadline = deadline;
  question.plan = &plan;
  const std::optional<core::admission_refusal> refusal =
      dependencies_.policies.GetOrCreate(configuration.Preset())
          ->admission->Refusal(question);
  if (!refusal) return false;
  common::Metrics().Count("wisteria_requests_refused_total",
                          {{"pipeline", plan.name},
                           {"code", common::Describe(refusal->code).name}});
  // An earlier request may have run an operation with this key.
  const std::string_view fate =
      plan.HasNonIdempotentStage() ? "unknown" : "not_run";
  const int64_t retry_after_ms =
      std::chrono::ceil<common::milliseconds>(refusal->retry_after).count();
  responder->Send(
      common::Describe(refusal->code).http_status, kJson,
      ErrorJson(refusal->code, refusal->reason, fate, retry_after_ms).dump());
  return true;
}

void caller_api::SendRequestState(const net::http_request& request,
                                  net::http_responder* responder) {
  const std::shared_ptr<const core::configuration> configuration =
      configuration_.current();
  const core::organisation_entry* organisation =
      configuration ? Authenticate(*configuration, request) : nullptr;
  if (organisation == nullptr) {
    SendError(responder, result_code::kUnauthorised, "");
    return;
  }
  const std::string id = request.path.substr(sizeof(kRecentPrefix) - 1);
  const core::recent_request* found =
      recent_requests_.Find(id, organisation->name);
  if (found == nullptr) {
    SendError(responder, result_code::kNotFound,
              "the request is unknown to this router, or no longer kept",
              "unknown");
  } else if (!found->ended) {
    responder->Send(
        202, kJson,
        json{{"request_id", id}, {"complete", false}, {"state", "running"}}
            .dump());
  } else {
    responder->Send(found->http_status, kJson, found->answer);
  }
}

void caller_api::SendOperation(
    const net::http_request& request,
    const std::shared_ptr<net::http_responder>& responder) {
  const std::shared_ptr<const core::configuration> configuration =
      configuration_.current();
  const core::organisation_entry* organisation =
      configuration ? Authenticate(*configuration, request) : nullptr;
  if (organisation == nullptr) {
    SendError(responder.get(), result_code::kUnauthorised, "");
    return;
  }
  const std::string key = request.path.substr(sizeof(kOperationPrefix) - 1);
  dependencies_.operations.ReadRow(
      core::OperationRowKey(organisation->name, key),
      [responder, key](const std::optional<core::operation_record>& record) {
        if (!record) {
          SendError(responder.get(), result_code::kPlatformUnavailable, "",
                    "unknown");
          return;
        }
        if (record->state == core::operation_state::kNone) {
          SendError(responder.get(), result_code::kNotFound, "");
          return;
        }
        constexpr std::string_view kOutcomes[] = {"not_run", "unknown", "done",
                                                  "not_run"};
        json answer = {{"key", key},
                       {"outcome", kOutcomes[static_cast<int>(record->state)]},
                       {"request_id", record->request_id}};
        if (record->state == core::operation_state::kDone) {
          answer["result"] = json::parse(record->result, nullptr, false);
        }
        responder->Send(200, kJson, answer.dump());
      });
}

void caller_api::OnRequestEnded() {
  --in_flight_;
  if (in_flight_ > 0 || !on_idle_) return;
  const std::function<void()> action = std::move(on_idle_);
  on_idle_ = nullptr;
  action();
}

void caller_api::NotifyWhenIdle(std::function<void()> action) {
  if (in_flight_ == 0) {
    action();
    return;
  }
  on_idle_ = std::move(action);
}

}  // namespace wisteriadale::router
