#include "standin/platform_service.h"

#include <nlohmann/json.hpp>

#include "standin/fault_documents.h"

namespace wisteriadale::standin {
namespace {

using nlohmann::json;

constexpr char kJson[] = "application/json";
constexpr char kTablePrefix[] = "/table/";
constexpr char kObjectPrefix[] = "/objects/";
constexpr char kControlPrefix[] = "/control/";
constexpr char kWeightPrefix[] = "/weights/";
constexpr char kBatchPath[] = "/table-batch";

json RowJson(const std::string& key, const std::string& value,
             uint64_t version) {
  return {{"key", key}, {"value", value}, {"version", version}};
}

/// Decodes percent-encoding. libwebsockets decodes a path once and then merges
/// its empty and dotted segments, so clients encode such keys twice.
std::string PercentDecode(std::string_view text) {
  constexpr int kHexBase = 16;
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    const bool escaped =
        text[i] == '%' && i + 2 < text.size() &&
        std::isxdigit(static_cast<unsigned char>(text[i + 1])) != 0 &&
        std::isxdigit(static_cast<unsigned char>(text[i + 2])) != 0;
    if (!escaped) {
      decoded.push_back(text[i]);
      continue;
    }
    const std::string digits(text.substr(i + 1, 2));
    decoded.push_back(static_cast<char>(std::stoi(digits, nullptr, kHexBase)));
    i += 2;
  }
  return decoded;
}

}  // namespace

std::optional<std::unique_ptr<platform_service>> platform_service::Create(
    const target_dependencies& dependencies, const platform_options& options) {
  std::unique_ptr<platform_service> service(
      new platform_service(dependencies, options));
  platform_service* raw = service.get();
  net::http_server::options listen;
  listen.address = options.address;
  listen.port = options.port;
  listen.max_body_bytes = 64 << 20;
  std::optional<std::unique_ptr<net::http_server>> server =
      net::http_server::Create(
          dependencies.loop, listen,
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
  if (request.path.starts_with(kControlPrefix)) {
    ServeControl(request, responder.get());
    return;
  }
  if (faults_.down) {
    responder->Abort();
    return;
  }
  if (faults_.delay_ms == 0) {
    Serve(request, responder);
    return;
  }
  dependencies_.loop.Schedule(
      common::milliseconds(faults_.delay_ms),
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
    ServeVms(responder.get());
  } else if (request.path.starts_with(kWeightPrefix)) {
    ServeWeights(responder);
  } else {
    responder->Send(404, kJson, "{}");
  }
}

void platform_service::ServeControl(const net::http_request& request,
                                    net::http_responder* responder) {
  const std::string_view resource =
      std::string_view(request.path).substr(sizeof(kControlPrefix) - 1);
  if (resource == "vms") {
    ChangeVms(request.body);
    responder->Send(200, kJson, "{}");
  } else if (resource == "faults") {
    SetFaults(request, responder);
  } else if (resource == "ledger") {
    SendLedger(responder);
  } else if (resource == "orders") {
    SendOrders(responder);
  } else if (resource == "counts") {
    SendCounts(responder);
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
  if (request.method == "PUT" || request.path == kBatchPath) {
    ++writes_;
    ServeWrites(request, responder);
    return;
  }
  ++reads_;
  if (request.path == "/table") {
    ListRows(request, responder.get());
    return;
  }
  const std::string key =
      PercentDecode(request.path.substr(sizeof(kTablePrefix) - 1));
  responder->Send(rows_.contains(key) ? 200 : 404, kJson, RowText(key));
}

void platform_service::ServeWrites(
    const net::http_request& request,
    const std::shared_ptr<net::http_responder>& responder) {
  const json body = json::parse(request.body, nullptr, false);
  const auto parse_write = [](const json& from, const std::string& key) {
    return write{key, from.value("value", ""),
                 from.value("expected_version", uint64_t{0})};
  };
  if (body.is_object() && request.method == "PUT") {
    const std::string key =
        PercentDecode(request.path.substr(sizeof(kTablePrefix) - 1));
    ApplyAndAnswer(
        [this, update = parse_write(body, key)](net::http_responder* answer) {
          const int status = ApplyWrite(update) ? 200 : 409;
          answer->Send(status, kJson, RowText(update.key));
        },
        responder);
    return;
  }
  if (!body.is_object() || !body.contains("writes") ||
      !body["writes"].is_array()) {
    responder->Send(400, kJson, "{}");
    return;
  }
  std::vector<write> writes;
  for (const json& from : body["writes"]) {
    writes.push_back(parse_write(from, from.value("key", "")));
  }
  ApplyAndAnswer(
      [this, writes](net::http_responder* answer) {
        json rows = json::array();
        for (const write& update : writes) {
          const bool written = ApplyWrite(update);
          json written_row = json::parse(RowText(update.key));
          written_row["status"] = written ? "ok" : "conflict";
          rows.push_back(written_row);
        }
        answer->Send(200, kJson, json{{"rows", rows}}.dump());
      },
      responder);
}

void platform_service::ApplyAndAnswer(
    std::function<void(net::http_responder*)> apply,
    const std::shared_ptr<net::http_responder>& responder) {
  if (dependencies_.random.Uniform() < faults_.late_write_share) {
    // Abort closes the connection first, so the later answer is discarded.
    dependencies_.loop.Schedule(
        common::milliseconds(faults_.late_write_ms),
        [apply = std::move(apply), responder] { apply(responder.get()); });
    responder->Abort();
    return;
  }
  if (dependencies_.random.Uniform() < faults_.lose_answer_share) {
    responder->Abort();
    class discarding_responder final : public net::http_responder {
     public:
      void Send(int, std::string_view, std::string_view,
                std::span<const net::http_header>) override {}
      void StartStream(int, std::string_view) override {}
      void Write(std::string_view) override {}
      void Finish() override {}
      void Abort() override {}
      size_t PendingBytes() const override { return 0; }
      void SetDisconnectHandler(std::function<void()>) override {}
    };
    discarding_responder discarded_answer;
    apply(&discarded_answer);
    return;
  }
  apply(responder.get());
}

bool platform_service::ApplyWrite(const write& update) {
  const auto found = rows_.find(update.key);
  const uint64_t version = found == rows_.end() ? 0 : found->second.version;
  if (update.expected_version != version) return false;
  rows_[update.key] = {update.value, version + 1};
  return true;
}

std::string platform_service::RowText(const std::string& key) const {
  const auto found = rows_.find(key);
  if (found == rows_.end()) return RowJson(key, "", 0).dump();
  return RowJson(key, found->second.value, found->second.version).dump();
}

void platform_service::ListRows(const net::http_request& request,
                                net::http_responder* responder) const {
  const std::string prefix = PercentDecode(request.QueryArgument("prefix"));
  const std::string limit_text = request.QueryArgument("limit");
  const size_t limit = std::strtoull(limit_text.c_str(), nullptr, 10);
  json rows = json::array();
  const std::string after = PercentDecode(request.QueryArgument("after"));
  for (auto it = after.empty() ? rows_.lower_bound(prefix)
                               : rows_.upper_bound(after);
       it != rows_.end() && it->first.starts_with(prefix) &&
       rows.size() < limit;
       ++it) {
    rows.push_back(RowJson(it->first, it->second.value, it->second.version));
  }
  responder->Send(200, kJson, json{{"rows", rows}}.dump());
}

void platform_service::ServeObjects(const net::http_request& request,
                                    net::http_responder* responder) {
  if (faults_.objects_down) {
    responder->Abort();
    return;
  }
  const std::string name =
      PercentDecode(request.path.substr(sizeof(kObjectPrefix) - 1));
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

void platform_service::ServeVms(net::http_responder* responder) const {
  if (faults_.vm_list_down) {
    responder->Abort();
    return;
  }
  responder->Send(
      200, kJson,
      "{\"vms\":" + (faults_.vm_list_empty ? "[]" : vms_json_) + "}");
}

void platform_service::ServeWeights(
    const std::shared_ptr<net::http_responder>& responder) {
  dependencies_.weights.Load([this, responder] {
    responder->Send(200, kJson,
                    json{{"bytes", dependencies_.weights.bytes()}}.dump());
  });
}

void platform_service::ChangeVms(const std::string& vms_json) {
  if (faults_.vm_list_frozen) return;
  if (options_.vm_list_lag_ms == 0) {
    vms_json_ = vms_json;
    return;
  }
  dependencies_.loop.Schedule(common::milliseconds(options_.vm_list_lag_ms),
                              [this, vms_json] { vms_json_ = vms_json; });
}

void platform_service::SendLedger(net::http_responder* responder) const {
  json entries = json::array();
  for (const ledger_entry& entry : dependencies_.operations.entries()) {
    entries.push_back({{"operation_key", entry.operation_key},
                       {"operation_token", entry.operation_token},
                       {"target", entry.target}});
  }
  responder->Send(200, kJson, json{{"operations", entries}}.dump());
}

void platform_service::SendOrders(net::http_responder* responder) const {
  json entries = json::array();
  for (const order_entry& entry : dependencies_.orders.entries()) {
    entries.push_back({{"target", entry.target},
                       {"order_id", entry.order_id},
                       {"fencing_number", entry.fencing_number},
                       {"kind", entry.kind},
                       {"argument", entry.argument},
                       {"authority", entry.authority},
                       {"accepted", entry.accepted}});
  }
  responder->Send(200, kJson, json{{"orders", entries}}.dump());
}

void platform_service::SendCounts(net::http_responder* responder) const {
  json targets = json::array();
  for (const target_service* target : targets_) {
    const target_counts& counts = target->counts();
    targets.push_back({{"id", target->options().id},
                       {"pool", target->options().pool},
                       {"requests", counts.requests},
                       {"answered", counts.answered},
                       {"failed", counts.failed},
                       {"abandoned", counts.abandoned},
                       {"crashes", counts.crashes},
                       {"cache_hits", counts.cache_hits},
                       {"busy_us", counts.busy_us},
                       {"wasted_us", counts.wasted_us}});
  }
  responder->Send(
      200, kJson,
      json{{"reads", reads_}, {"writes", writes_}, {"targets", targets}}
          .dump());
}

void platform_service::SetFaults(const net::http_request& request,
                                 net::http_responder* responder) {
  const std::optional<fault_document> change = ParseFaultDocument(request.body);
  if (!change) {
    responder->Send(400, kJson, "{\"error\":\"invalid fault document\"}");
    return;
  }
  if (!change->applies_to_targets) faults_ = change->new_platform_faults;
  size_t changed = 0;
  for (target_service* target : targets_) {
    if (!change->clears_all && !change->Matches(target->options())) continue;
    target->SetFaults(change->new_target_faults);
    ++changed;
  }
  responder->Send(200, kJson, json{{"targets", changed}}.dump());
}

}  // namespace wisteriadale::standin
