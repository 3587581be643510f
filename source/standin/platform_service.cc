#include "standin/platform_service.h"

#include <nlohmann/json.hpp>

namespace wisteriadale::standin {
namespace {

using nlohmann::json;

constexpr char kJson[] = "application/json";
constexpr char kTablePrefix[] = "/table/";
constexpr char kObjectPrefix[] = "/objects/";

json RowJson(const std::string& key, const std::string& value,
             uint64_t version) {
  return {{"key", key}, {"value", value}, {"version", version}};
}

}  // namespace

std::optional<std::unique_ptr<platform_service>> platform_service::Create(
    net::event_loop& loop, const std::string& address, uint16_t port,
    common::random_source& random, ledger& operations) {
  std::unique_ptr<platform_service> service(
      new platform_service(loop, random, operations));
  platform_service* raw = service.get();
  net::http_server::options listen;
  listen.address = address;
  listen.port = port;
  listen.max_body_bytes = 64 << 20;
  std::optional<std::unique_ptr<net::http_server>> server =
      net::http_server::Create(
          loop, listen,
          [raw](const net::http_request& request,
                const std::shared_ptr<net::http_responder>& responder) {
            raw->OnHttp(request, responder);
          });
  if (!server) return std::nullopt;
  service->server_ = std::move(*server);
  return service;
}

void platform_service::OnHttp(
    const net::http_request& request,
    const std::shared_ptr<net::http_responder>& responder) {
  const bool control = request.path.starts_with("/control/");
  if (control || faults_.delay_ms == 0) {
    Serve(request, responder);
    return;
  }
  loop_.Schedule(common::milliseconds(faults_.delay_ms),
                 [this, request, responder] { Serve(request, responder); });
}

void platform_service::Serve(
    const net::http_request& request,
    const std::shared_ptr<net::http_responder>& responder) {
  if (request.path.starts_with("/table")) {
    ServeTable(request, responder);
  } else if (request.path.starts_with(kObjectPrefix)) {
    ServeObjects(request, responder.get());
  } else if (request.path == "/vms") {
    if (faults_.vm_list_down) {
      responder->Abort();
      return;
    }
    responder->Send(200, kJson, "{\"vms\":" + vms_json_ + "}");
  } else if (request.path == "/control/vms") {
    vms_json_ = request.body;
    responder->Send(200, kJson, "{}");
  } else if (request.path == "/control/ledger") {
    ServeLedger(responder.get());
  } else if (request.path == "/control/faults") {
    SetFaults(request, responder.get());
  } else if (request.path == "/control/counts") {
    responder->Send(200, kJson,
                    json{{"reads", reads_}, {"writes", writes_}}.dump());
  } else {
    responder->Send(404, kJson, "{}");
  }
}

void platform_service::ServeTable(
    const net::http_request& request,
    const std::shared_ptr<net::http_responder>& responder) {
  if (faults_.table_down) {
    responder->Abort();
    return;
  }
  if (request.path == "/table") {
    ++reads_;
    ListRows(request, responder.get());
    return;
  }
  const std::string key = request.path.substr(sizeof(kTablePrefix) - 1);
  if (request.method == "PUT") {
    ++writes_;
    WriteRow(key, request, responder);
    return;
  }
  ++reads_;
  const auto found = rows_.find(key);
  if (found == rows_.end()) {
    responder->Send(404, kJson, "{}");
    return;
  }
  responder->Send(
      200, kJson,
      RowJson(key, found->second.value, found->second.version).dump());
}

void platform_service::WriteRow(
    const std::string& key, const net::http_request& request,
    const std::shared_ptr<net::http_responder>& responder) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    responder->Send(400, kJson, "{}");
    return;
  }
  const uint64_t expected = body.value("expected_version", uint64_t{0});
  const auto found = rows_.find(key);
  const uint64_t version = found == rows_.end() ? 0 : found->second.version;
  if (expected != version) {
    responder->Send(
        409, kJson,
        RowJson(key, found == rows_.end() ? "" : found->second.value, version)
            .dump());
    return;
  }
  row& changed = rows_[key];
  changed.value = body.value("value", "");
  changed.version = version + 1;
  if (random_.Uniform() < faults_.lose_answer_share) {
    responder->Abort();
    return;
  }
  responder->Send(200, kJson,
                  RowJson(key, changed.value, changed.version).dump());
}

void platform_service::ListRows(const net::http_request& request,
                                net::http_responder* responder) const {
  const std::string prefix = request.QueryArgument("prefix");
  const std::string limit_text = request.QueryArgument("limit");
  const size_t limit = std::strtoull(limit_text.c_str(), nullptr, 10);
  json rows = json::array();
  for (auto at = rows_.lower_bound(prefix);
       at != rows_.end() && at->first.starts_with(prefix) &&
       rows.size() < limit;
       ++at) {
    rows.push_back(RowJson(at->first, at->second.value, at->second.version));
  }
  responder->Send(200, kJson, json{{"rows", rows}}.dump());
}

void platform_service::ServeObjects(const net::http_request& request,
                                    net::http_responder* responder) {
  if (faults_.objects_down) {
    responder->Abort();
    return;
  }
  const std::string name = request.path.substr(sizeof(kObjectPrefix) - 1);
  if (request.method == "PUT") {
    ++writes_;
    objects_[name] = request.body;
    responder->Send(200, kJson, "{}");
    return;
  }
  ++reads_;
  const auto found = objects_.find(name);
  if (found == objects_.end()) {
    responder->Send(404, kJson, "{}");
    return;
  }
  responder->Send(200, "application/octet-stream", found->second);
}

void platform_service::ServeLedger(net::http_responder* responder) const {
  json entries = json::array();
  for (const ledger_entry& entry : operations_.entries()) {
    entries.push_back({{"operation_key", entry.operation_key},
                       {"operation_token", entry.operation_token},
                       {"target", entry.target}});
  }
  responder->Send(200, kJson, json{{"operations", entries}}.dump());
}

void platform_service::SetFaults(const net::http_request& request,
                                 net::http_responder* responder) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    responder->Send(400, kJson, "{}");
    return;
  }
  faults_.table_down = body.value("table_down", false);
  faults_.objects_down = body.value("objects_down", false);
  faults_.vm_list_down = body.value("vm_list_down", false);
  faults_.delay_ms = body.value("delay_ms", int64_t{0});
  faults_.lose_answer_share = body.value("lose_answer_share", 0.0);
  responder->Send(200, kJson, "{}");
}

}  // namespace wisteriadale::standin
