#include "router/operator_api.h"

#include <nlohmann/json.hpp>

#include "common/digest.h"
#include "router/caller_api.h"

namespace wisteriadale::router {
namespace {

using common::result_code;
using nlohmann::json;

constexpr char kPrefix[] = "/v1/operator/";
constexpr char kAppliesPrefix[] = "configuration/applies/";
constexpr char kBearer[] = "Bearer ";
constexpr char kJson[] = "application/json";
constexpr uint32_t kMaxHistoryEntries = 100;

uint64_t ParseNumber(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

json EntryJson(const core::configuration_entry& entry) {
  return {{"version", entry.version}, {"who", entry.author},
          {"wall_us", entry.wall_us}, {"digest", entry.digest},
          {"preset", entry.preset},   {"token", entry.token}};
}

std::string_view NameOf(core::apply_status status) {
  constexpr std::string_view kNames[] = {"accepted", "refused", "lost",
                                         "pending", "unknown"};
  return kNames[static_cast<int>(status)];
}

result_code ResultCodeOf(core::apply_status status) {
  constexpr result_code kCodes[] = {
      result_code::kOk, result_code::kBadConfiguration, result_code::kConflict,
      result_code::kPlatformUnavailable, result_code::kPlatformUnavailable};
  return kCodes[static_cast<int>(status)];
}

/// Sends the result of a configuration change to the operator.
void SendApplyResult(net::http_responder* responder,
                     const core::apply_result& result) {
  if (result.status == core::apply_status::kAccepted) {
    responder->Send(
        200, kJson,
        json{{"version", result.version}, {"token", result.token}}.dump());
    return;
  }
  const bool not_run = result.status == core::apply_status::kBadDocument ||
                       result.status == core::apply_status::kSuperseded;
  std::string reason = result.reason;
  if (!result.token.empty()) {
    reason.append(" (apply token ").append(result.token).append(")");
  }
  SendError(responder, ResultCodeOf(result.status), reason,
            not_run ? "not_run" : "unknown");
}

json OrderJson(const core::order_state& state) {
  return {{"order_id", state.order.order_id},
          {"target", state.order.target},
          {"kind", state.order.kind},
          {"argument", state.order.argument},
          {"who", state.requested_by},
          {"epoch", state.order.fencing_number},
          {"state", state.ended ? "ended" : "in_progress"},
          {"result", state.ended ? common::Describe(state.code).name : ""},
          {"reason", state.reason},
          {"sends", state.send_count},
          {"wall_us", state.submitted_wall_us}};
}

void SendOrderState(net::http_responder* responder,
                    const core::order_state& state) {
  if (state.code != result_code::kOk) {
    SendError(responder, state.code, state.reason,
              state.send_count == 0 ? "not_run" : "unknown");
    return;
  }
  responder->Send(200, kJson, OrderJson(state).dump());
}

/// @return the `operator` header, or the peer's address when there is none
std::string_view OperatorName(const net::http_request& request) {
  const std::string_view named = request.Header("operator");
  return named.empty() ? std::string_view(request.peer) : named;
}

/// @return the field's text, empty when it is missing or no string
std::string StringField(const json& body, const char* key) {
  const auto found = body.find(key);
  if (found == body.end() || !found->is_string()) return "";
  return found->get<std::string>();
}

}  // namespace

bool operator_api::Owns(std::string_view path) {
  return path.starts_with(kPrefix);
}

bool operator_api::IsRefusedByHead(const net::http_request& request) const {
  return request.method == "GET" || !Authorised(request);
}

bool operator_api::Handle(const net::http_request& request,
                          const responder_ptr& responder) {
  if (!Owns(request.path)) return false;
  if (!Authorised(request)) {
    SendError(responder.get(), result_code::kUnauthorised, "");
    return true;
  }
  // The body of a GET means nothing, and is not waited for.
  const result_code error = BodyError(request);
  if (request.method != "GET" && error != result_code::kOk) {
    SendError(responder.get(), error, "");
    return true;
  }
  const std::string_view subpath =
      std::string_view(request.path).substr(sizeof(kPrefix) - 1);
  if (operations_.Handle(subpath, request, responder)) return true;
  const bool known = request.method == "GET"
                         ? HandleRead(subpath, request, responder)
                         : HandleChange(subpath, request, responder);
  if (!known) SendError(responder.get(), result_code::kNotFound, "");
  return true;
}

bool operator_api::HandleRead(std::string_view subpath,
                              const net::http_request& request,
                              const responder_ptr& responder) {
  if (subpath == "status") {
    SendStatus(responder.get());
  } else if (subpath == "targets") {
    SendTargets(responder.get());
  } else if (subpath == "configuration") {
    SendConfiguration(responder.get());
  } else if (subpath == "configuration/history") {
    SendHistory(responder);
  } else if (subpath == "configuration/diff") {
    SendDiff(request, responder);
  } else if (subpath.starts_with(kAppliesPrefix)) {
    SendApplyState(subpath.substr(sizeof(kAppliesPrefix) - 1), request,
                   responder);
  } else if (subpath == "quarantine") {
    SendQuarantine(responder.get());
  } else if (subpath == "orders") {
    SendOrders(responder.get());
  } else {
    return false;
  }
  return true;
}

bool operator_api::HandleChange(std::string_view subpath,
                                const net::http_request& request,
                                const responder_ptr& responder) {
  if (subpath == "configuration") {
    ApplyConfiguration(request, responder);
  } else if (subpath == "preset") {
    SetPreset(request, responder);
  } else if (subpath == "drain" || subpath == "undrain") {
    SetDrained(subpath == "drain", request, responder);
  } else if (subpath == "quarantine/lift") {
    LiftQuarantine(request, responder);
  } else if (subpath == "orders") {
    SubmitOrder(request, responder);
  } else {
    return false;
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
  configuration_service& service = control_.configuration();
  const std::shared_ptr<const core::configuration>& current = service.current();
  json status = {{"router", router_name_},
                 {"ready", service.Ready()},
                 {"reads_head", service.distributor().IsHeadPoller()},
                 {"holds_leases", control_.HeldLeases()}};
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
                       {"leaving", view->listed_leaving},
                       {"drained", view->drained || !view->load.accepting},
                       {"in_flight", view->load.in_flight},
                       {"queued", view->load.queued},
                       {"limit", view->load.limit},
                       {"latency_us", view->load.latency_us}});
  }
  responder->Send(200, kJson, json{{"targets", targets}}.dump());
}

void operator_api::SendConfiguration(net::http_responder* responder) const {
  const std::shared_ptr<const core::configuration>& current =
      control_.configuration().current();
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

void operator_api::SendHistory(const responder_ptr& responder) {
  control_.configuration().store().History(
      kMaxHistoryEntries,
      [responder](const std::optional<std::vector<core::configuration_entry>>&
                      entries) {
        if (!entries) {
          SendError(responder.get(), result_code::kPlatformUnavailable, "",
                    "unknown");
          return;
        }
        json versions = json::array();
        for (const core::configuration_entry& entry : *entries) {
          versions.push_back(EntryJson(entry));
        }
        responder->Send(200, kJson, json{{"versions", versions}}.dump());
      });
}

void operator_api::SendDiff(const net::http_request& request,
                            const responder_ptr& responder) {
  const uint64_t from = ParseNumber(request.QueryArgument("from"));
  const uint64_t to = ParseNumber(request.QueryArgument("to"));
  configuration_service& service = control_.configuration();
  service.ReadVersion(from, [&service, from, to, responder](
                                const std::optional<std::string>& before) {
    service.ReadVersion(to, [from, to, responder,
                             before](const std::optional<std::string>& after) {
      if (!before || !after) {
        SendError(responder.get(), result_code::kNotFound,
                  "a version is unknown or its document cannot be read");
        return;
      }
      const json changes = json::diff(json::parse(*before, nullptr, false),
                                      json::parse(*after, nullptr, false));
      responder->Send(
          200, kJson,
          json{{"from", from}, {"to", to}, {"changes", changes}}.dump());
    });
  });
}

void operator_api::SendApplyState(std::string_view token,
                                  const net::http_request& request,
                                  const responder_ptr& responder) {
  const uint64_t expected =
      ParseNumber(request.QueryArgument("expected_version"));
  control_.configuration().store().FindApply(
      std::string(token), expected,
      [responder](const core::apply_result& result) {
        json body = {{"token", result.token},
                     {"state", NameOf(result.status)},
                     {"reason", result.reason}};
        if (result.version != 0) body["version"] = result.version;
        responder->Send(200, kJson, body.dump());
      });
}

void operator_api::SendOrders(net::http_responder* responder) const {
  json orders = json::array();
  for (const core::order_state& state : control_.orders().Recent()) {
    orders.push_back(OrderJson(state));
  }
  responder->Send(200, kJson, json{{"orders", orders}}.dump());
}

void operator_api::SendQuarantine(net::http_responder* responder) {
  json digests = json::array();
  for (const core::quarantine_entry& entry :
       control_.quarantined_requests().List()) {
    digests.push_back(
        {{"digest", entry.digest}, {"expires_wall_us", entry.expires_wall_us}});
  }
  responder->Send(200, kJson, json{{"digests", digests}}.dump());
}

void operator_api::LiftQuarantine(const net::http_request& request,
                                  const responder_ptr& responder) {
  const std::string digest =
      StringField(json::parse(request.body, nullptr, false), "digest");
  if (!control_.LiftQuarantine(digest)) {
    SendError(responder.get(), result_code::kNotFound,
              "the digest is not quarantined");
    return;
  }
  responder->Send(200, kJson,
                  json{{"digest", digest}, {"lifted", true}}.dump());
}

void operator_api::ApplyConfiguration(const net::http_request& request,
                                      const responder_ptr& responder) {
  core::apply_request change;
  change.document = request.body;
  change.expected_version =
      ParseNumber(request.QueryArgument("expected_version"));
  change.token = request.QueryArgument("token");
  change.author = OperatorName(request);
  control_.configuration().Apply(change,
                                 [responder](const core::apply_result& result) {
                                   SendApplyResult(responder.get(), result);
                                 });
}

void operator_api::SetPreset(const net::http_request& request,
                             const responder_ptr& responder) {
  const json body = json::parse(request.body, nullptr, false);
  const std::string preset = StringField(body, "preset");
  if (!control_.configuration().current()) {
    SendError(responder.get(), result_code::kNotReady, "");
    return;
  }
  if (preset.empty()) {
    SendError(responder.get(), result_code::kBadRequest, "preset is missing");
    return;
  }
  core::apply_request change;
  change.expected_version =
      ParseNumber(request.QueryArgument("expected_version"));
  change.token = StringField(body, "token");
  change.author = OperatorName(request);
  control_.configuration().SetPreset(
      preset, std::move(change), [responder](const core::apply_result& result) {
        SendApplyResult(responder.get(), result);
      });
}

void operator_api::SetDrained(bool drained, const net::http_request& request,
                              const responder_ptr& responder) {
  const json body = json::parse(request.body, nullptr, false);
  const std::string target = StringField(body, "target");
  if (control_.members().Find(target) == nullptr) {
    SendError(responder.get(), result_code::kNotFound, "no such target");
    return;
  }
  control_.SetDrained(target, drained, std::string(OperatorName(request)),
                      [responder](const core::order_state& state) {
                        SendOrderState(responder.get(), state);
                      });
}

void operator_api::SubmitOrder(const net::http_request& request,
                               const responder_ptr& responder) {
  const json body = json::parse(request.body, nullptr, false);
  core::order_request new_order;
  new_order.order_id = StringField(body, "order_id");
  new_order.target = StringField(body, "target");
  new_order.kind = StringField(body, "kind");
  new_order.argument = StringField(body, "argument");
  new_order.requested_by = OperatorName(request);
  constexpr std::string_view kKinds[] = {"load_model",   "unload_model",
                                         "load_adapter", "set_role",
                                         "drain",        "undrain"};
  if (std::find(std::begin(kKinds), std::end(kKinds), new_order.kind) ==
      std::end(kKinds)) {
    SendError(responder.get(), result_code::kBadRequest,
              "kind must be load_model, unload_model, load_adapter, set_role, "
              "drain or undrain");
    return;
  }
  if (control_.members().Find(new_order.target) == nullptr) {
    SendError(responder.get(), result_code::kNotFound, "no such target");
    return;
  }
  control_.orders().Submit(std::move(new_order),
                           [responder](const core::order_state& state) {
                             SendOrderState(responder.get(), state);
                           });
}

}  // namespace wisteriadale::router
