#include "router/operation_api.h"

#include <nlohmann/json.hpp>

#include "router/caller_api.h"

namespace wisteriadale::router {
namespace {

using common::result_code;
using nlohmann::json;

constexpr char kJson[] = "application/json";
constexpr std::string_view kPrefix = "operations";
constexpr std::string_view kInDoubt = "operations/in-doubt";
constexpr std::string_view kSettle = "operations/settle";
// Younger operations are likely to be running still.
constexpr common::milliseconds kDoubtAge{30000};

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
    std::string_view what, const net::http_request& request,
    const std::shared_ptr<net::http_responder>& responder) {
  if (what != kPrefix && !what.starts_with("operations/")) return false;
  if (request.method == "POST" && what == kSettle) {
    Settle(request, responder);
  } else if (request.method != "GET") {
    SendError(responder.get(), result_code::kMethodNotAllowed, "");
  } else if (what == kInDoubt || what == kPrefix) {
    SendDoubts(request, responder);
  } else {
    SendOperation(what, responder);
  }
  return true;
}

void operation_api::SendOperation(
    std::string_view row,
    const std::shared_ptr<net::http_responder>& responder) {
  operations_.ReadRow(
      row, [responder](const std::optional<core::operation_record>& record) {
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

void operation_api::SendDoubts(
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
          const std::optional<std::vector<core::in_doubt_operation>>& found) {
        if (!found) {
          SendError(responder.get(), result_code::kPlatformUnavailable, "",
                    "unknown");
          return;
        }
        json operations = json::array();
        for (const core::in_doubt_operation& doubt : *found) {
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

void operation_api::Settle(
    const net::http_request& request,
    const std::shared_ptr<net::http_responder>& responder) {
  const json body = json::parse(request.body, nullptr, false);
  core::in_doubt_decision decision;
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
      decision, [responder, outcome](const core::in_doubt_result& answer) {
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

}  // namespace wisteriadale::router
