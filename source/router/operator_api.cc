#include "router/operator_api.h"

#include <nlohmann/json.hpp>

#include "common/digest.h"
#include "router/caller_api.h"

namespace wisteriadale::router {
namespace {

using common::result_code;
using nlohmann::json;

constexpr char kPrefix[] = "/v1/operator/";
constexpr char kBearer[] = "Bearer ";
constexpr char kJson[] = "application/json";
// Younger operations are likely to be running still.
constexpr common::milliseconds kDoubtAge{30000};

}  // namespace

bool operator_api::Handle(
    const net::http_request& request,
    const std::shared_ptr<net::http_responder>& responder) {
  if (!request.path.starts_with(kPrefix)) return false;
  if (!Authorised(request)) {
    SendError(responder.get(), result_code::kUnauthorised, "");
    return true;
  }
  const std::string_view what =
      std::string_view(request.path).substr(sizeof(kPrefix) - 1);
  if (what == "status") {
    SendStatus(responder.get());
  } else if (what == "targets") {
    SendTargets(responder.get());
  } else if (what == "operations" && request.method == "POST") {
    SettleDoubt(request, responder);
  } else if (what == "operations") {
    ListDoubts(request, responder);
  } else if (what == "configuration" && request.method == "PUT") {
    ApplyConfiguration(request, responder);
  } else if (what == "configuration") {
    SendConfiguration(responder.get());
  } else {
    SendError(responder.get(), result_code::kNotFound, "");
  }
  return true;
}

bool operator_api::Authorised(const net::http_request& request) const {
  if (key_sha256_.empty()) return true;
  const std::string_view header = request.Header("authorization");
  if (!header.starts_with(kBearer)) return false;
  return common::EqualInConstantTime(
      common::Sha256Hex(header.substr(sizeof(kBearer) - 1)), key_sha256_);
}

void operator_api::SendStatus(net::http_responder* responder) const {
  const std::shared_ptr<const core::configuration>& current = watch_.current();
  json status = {{"router", router_name_}, {"ready", current != nullptr}};
  if (current) {
    status["configuration_version"] = current->version;
    status["preset"] = current->preset;
  }
  size_t usable = 0;
  for (const core::target_view* view : targets_.All()) {
    if (view->Usable()) ++usable;
  }
  status["targets"] = targets_.All().size();
  status["usable_targets"] = usable;
  responder->Send(200, kJson, status.dump());
}

void operator_api::SendTargets(net::http_responder* responder) const {
  json targets = json::array();
  for (const core::target_view* view : targets_.All()) {
    targets.push_back({{"id", view->id},
                       {"pool", view->pool},
                       {"data_centre", view->data_centre},
                       {"connected", view->connected},
                       {"usable", view->Usable()},
                       {"in_flight", view->load.in_flight},
                       {"queued", view->load.queued},
                       {"limit", view->load.limit},
                       {"latency_us", view->load.latency_us}});
  }
  responder->Send(200, kJson, json{{"targets", targets}}.dump());
}

void operator_api::SendConfiguration(net::http_responder* responder) const {
  const std::shared_ptr<const core::configuration>& current = watch_.current();
  if (!current) {
    SendError(responder, result_code::kNotReady, "");
    return;
  }
  const json answer = {
      {"version", current->version},
      {"digest", current->digest},
      {"document", json::parse(current->document, nullptr, false)}};
  responder->Send(200, kJson, answer.dump());
}

void operator_api::ListDoubts(
    const net::http_request& request,
    const std::shared_ptr<net::http_responder>& responder) {
  const std::string min_age = request.QueryArgument("min_age_ms");
  const common::milliseconds age =
      min_age.empty()
          ? kDoubtAge
          : common::milliseconds(std::strtoll(min_age.c_str(), nullptr, 10));
  doubts_.Find(
      age,
      [responder](
          const std::optional<std::vector<core::doubtful_operation>>& found) {
        if (!found) {
          SendError(responder.get(), result_code::kPlatformUnavailable, "",
                    "unknown");
          return;
        }
        json operations = json::array();
        for (const core::doubtful_operation& doubt : *found) {
          operations.push_back({{"operation", doubt.row_key},
                                {"version", doubt.record.version},
                                {"age_ms", doubt.age.count() / 1000},
                                {"request_id", doubt.record.request_id},
                                {"router", doubt.record.router},
                                {"target", doubt.record.target}});
        }
        responder->Send(200, kJson, json{{"operations", operations}}.dump());
      });
}

void operator_api::SettleDoubt(
    const net::http_request& request,
    const std::shared_ptr<net::http_responder>& responder) {
  const json body = json::parse(request.body, nullptr, false);
  core::doubt_decision decision;
  std::string outcome;
  // The library reports a field of another type by an exception.
  try {
    decision.row_key = body.at("operation").get<std::string>();
    decision.version = body.at("version").get<uint64_t>();
    decision.operator_name = body.at("operator").get<std::string>();
    decision.note = body.value("note", "");
    outcome = body.at("outcome").get<std::string>();
  } catch (const json::exception&) {
    SendError(responder.get(), result_code::kBadRequest,
              "needs operation, version, operator and outcome");
    return;
  }
  if (!decision.row_key.starts_with("operations/") ||
      decision.operator_name.empty() ||
      (outcome != "done" && outcome != "not_run")) {
    SendError(responder.get(), result_code::kBadRequest,
              "outcome is done or not_run, and operator is not empty");
    return;
  }
  decision.ran = outcome == "done";
  if (decision.ran) {
    decision.result = body.value("result", json::object()).dump();
  }
  doubts_.Settle(
      decision, [responder, outcome](const core::doubt_answer& answer) {
        if (answer.code != result_code::kOk) {
          SendError(responder.get(), answer.code, answer.reason, "unknown");
          return;
        }
        responder->Send(200, kJson,
                        json{{"outcome", outcome},
                             {"version", answer.record.version},
                             {"settled_by", answer.record.settled_by}}
                            .dump());
      });
}

void operator_api::ApplyConfiguration(
    const net::http_request& request,
    const std::shared_ptr<net::http_responder>& responder) {
  const std::string expected = request.QueryArgument("expected_version");
  const uint64_t version = std::strtoull(expected.c_str(), nullptr, 10);
  watch_.Apply(request.body, version, [responder](const apply_answer& answer) {
    if (answer.code != result_code::kOk) {
      SendError(responder.get(), answer.code, answer.reason,
                answer.code == result_code::kPlatformUnavailable ? "unknown"
                                                                 : "not_run");
      return;
    }
    responder->Send(200, kJson, json{{"version", answer.version}}.dump());
  });
}

}  // namespace wisteriadale::router
