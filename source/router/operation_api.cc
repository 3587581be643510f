#include "router/operation_api.h"

#include <nlohmann/json.hpp>

#include "router/caller_api.h"

namespace wisteriadale::router {
namespace {

using common::result_code;
using nlohmann::json;

constexpr char kJson[] = "application/json";
constexpr std::string_view kRootPath = "operations";
constexpr std::string_view kInDoubtPath = "operations/in-doubt";
constexpr std::string_view kSettlePath = "operations/settle";
// Younger operations are probably still running.
constexpr common::milliseconds kDefaultMinAge{30000};

json OperationJson(const core::operation_record& record) {
  constexpr std::string_view kOutcomes[] = {"not_run", "unknown", "done",
                                            "not_run"};
  return {{"outcome", kOutcomes[static_cast<int>(record.state)]},
          {"request_id", record.request_id},
          {"target", record.target},
          {"router", record.router},
          {"version", record.version},
          {"changed_us", record.changed_wall_us}};
}

}  // namespace

bool operation_api::Handle(
    std::string_view subpath, const net::http_request& request,
    const std::shared_ptr<net::http_responder>& responder) {
  if (subpath != kRootPath && !subpath.starts_with("operations/")) return false;
  if (request.method == "POST" && subpath == kSettlePath) {
    Settle(request, responder);
  } else if (request.method != "GET") {
    SendError(responder.get(), result_code::kMethodNotAllowed, "");
  } else if (subpath == kInDoubtPath || subpath == kRootPath) {
    SendInDoubt(request, responder);
  } else {
    SendOperation(subpath, responder);
  }
  return true;
}

void operation_api::SendOperation(
    std::string_view operation_key,
    const std::shared_ptr<net::http_responder>& responder) {
  operations_.ReadRow(
      operation_key,
      [responder](const std::optional<core::operation_record>& record) {
        if (!record) {
          SendError(responder.get(), result_code::kPlatformUnavailable, "",
                    "unknown");
          return;
        }
        if (record->state == core::operation_state::kNone) {
          SendError(responder.get(), result_code::kNotFound, "");
          return;
        }
        responder->Send(200, kJson, OperationJson(*record).dump());
      });
}

void operation_api::SendInDoubt(
    const net::http_request& request,
    const std::shared_ptr<net::http_responder>& responder) {
  const std::string min_age = request.QueryArgument("min_age_ms");
  const common::milliseconds age =
      min_age.empty()
          ? kDefaultMinAge
          : common::milliseconds(std::strtoll(min_age.c_str(), nullptr, 10));
  in_doubt_.Find(
      age,
      [responder](
          const std::optional<std::vector<core::in_doubt_operation>>& found) {
        if (!found) {
          SendError(responder.get(), result_code::kPlatformUnavailable, "",
                    "unknown");
          return;
        }
        json operations = json::array();
        for (const core::in_doubt_operation& entry : *found) {
          operations.push_back({{"operation", entry.row_key},
                                {"version", entry.record.version},
                                {"age_ms", entry.age.count() / 1000},
                                {"request_id", entry.record.request_id},
                                {"router", entry.record.router},
                                {"target", entry.record.target}});
        }
        responder->Send(200, kJson, json{{"operations", operations}}.dump());
      });
}

void operation_api::Settle(
    const net::http_request& request,
    const std::shared_ptr<net::http_responder>& responder) {
  const json body = json::parse(request.body, nullptr, false);
  core::in_doubt_decision decision;
  std::string outcome;
  // The JSON library throws on a missing field or one of another type.
  try {
    decision.row_key = body.at("operation").get<std::string>();
    decision.version = body.at("version").get<uint64_t>();
    decision.operator_name = body.at("operator").get<std::string>();
    decision.note = body.value("note", "");
    outcome = body.at("outcome").get<std::string>();
  } catch (const json::exception&) {
    SendError(responder.get(), result_code::kBadRequest,
              "operation, version, operator and outcome are required");
    return;
  }
  if (!decision.row_key.starts_with("operations/") ||
      decision.operator_name.empty() ||
      (outcome != "done" && outcome != "not_run")) {
    SendError(
        responder.get(), result_code::kBadRequest,
        "operation must begin with \"operations/\", outcome must be done or "
        "not_run, and operator must not be empty");
    return;
  }
  decision.ran = outcome == "done";
  if (decision.ran) {
    decision.result = body.value("result", json::object()).dump();
  }
  in_doubt_.Settle(
      decision, [responder, outcome](const core::in_doubt_result& settled) {
        if (settled.code != result_code::kOk) {
          SendError(responder.get(), settled.code, settled.reason, "unknown");
          return;
        }
        responder->Send(200, kJson,
                        json{{"outcome", outcome},
                             {"version", settled.record.version},
                             {"settled_by", settled.record.settled_by}}
                            .dump());
      });
}

}  // namespace wisteriadale::router
