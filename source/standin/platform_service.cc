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

/// Decodes what is still escaped; libwebsockets decodes a path only once, and
/// merges its empty and dotted parts, so clients escape such keys twice.
std::string Unescape(std::string_view text) {
  constexpr int kHexadecimal = 16;
  std::string plain;
  for (size_t i = 0; i < text.size(); ++i) {
    const bool escaped =
        text[i] == '%' && i + 2 < text.size() &&
        std::isxdigit(static_cast<unsigned char>(text[i + 1])) != 0 &&
        std::isxdigit(static_cast<unsigned char>(text[i + 2])) != 0;
    if (!escaped) {
      plain.push_back(text[i]);
      continue;
    }
    const std::string digits(text.substr(i + 1, 2));
    plain.push_back(
        static_cast<char>(std::stoi(digits, nullptr, kHexadecimal)));
    i += 2;
  }
  return plain;
}

}  // namespace

std::optional<std::unique_ptr<platform_service>> platform_service::Create(
    const target_surroundings& around, const platform_options& options) {
  std::unique_ptr<platform_service> service(
      new platform_service(around, options));
  platform_service* raw = service.get();
  net::http_server::options listen;
  listen.address = options.address;
  listen.port = options.port;
  listen.max_body_bytes = 64 << 20;
  std::optional<std::unique_ptr<net::http_server>> server =
      net::http_server::Create(
          around.loop, listen,
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
  around_.loop.Schedule(
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
  const std::string_view what =
      std::string_view(request.path).substr(sizeof(kControlPrefix) - 1);
  if (what == "vms") {
    ChangeVms(request.body);
    responder->Send(200, kJson, "{}");
  } else if (what == "faults") {
    SetFaults(request, responder);
  } else if (what == "ledger") {
    SendLedger(responder);
  } else if (what == "orders") {
    SendOrders(responder);
  } else if (what == "counts") {
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
      Unescape(request.path.substr(sizeof(kTablePrefix) - 1));
  responder->Send(rows_.contains(key) ? 200 : 404, kJson, RowText(key));
}

void platform_service::ServeWrites(
    const net::http_request& request,
    const std::shared_ptr<net::http_responder>& responder) {
  const json body = json::parse(request.body, nullptr, false);
  const auto read = [](const json& from, const std::string& key) {
    return write{key, from.value("value", ""),
                 from.value("expected_version", uint64_t{0})};
  };
  if (body.is_object() && request.method == "PUT") {
    const std::string key =
        Unescape(request.path.substr(sizeof(kTablePrefix) - 1));
    Perform(
        [this, wanted = read(body, key)](net::http_responder* answer) {
          const int status = Apply(wanted) ? 200 : 409;
          answer->Send(status, kJson, RowText(wanted.key));
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
    writes.push_back(read(from, from.value("key", "")));
  }
  Perform(
      [this, writes](net::http_responder* answer) {
        json rows = json::array();
        for (const write& wanted : writes) {
          const bool written = Apply(wanted);
          json answered = json::parse(RowText(wanted.key));
          answered["status"] = written ? "ok" : "conflict";
          rows.push_back(answered);
        }
        answer->Send(200, kJson, json{{"rows", rows}}.dump());
      },
      responder);
}

void platform_service::Perform(
    std::function<void(net::http_responder*)> apply,
    const std::shared_ptr<net::http_responder>& responder) {
  if (around_.random.Uniform() < faults_.late_write_share) {
    // The answer goes to a connection that is closed already.
    around_.loop.Schedule(
        common::milliseconds(faults_.late_write_ms),
        [apply = std::move(apply), responder] { apply(responder.get()); });
    responder->Abort();
    return;
  }
  if (around_.random.Uniform() < faults_.lose_answer_share) {
    responder->Abort();
    class no_answer final : public net::http_responder {
     public:
      void Send(int, std::string_view, std::string_view,
                std::span<const net::http_header>) override {}
      void StartStream(int, std::string_view) override {}
      void Write(std::string_view) override {}
      void Finish() override {}
      void Abort() override {}
      size_t PendingBytes() const override { return 0; }
      void OnClose(std::function<void()>) override {}
    };
    no_answer nobody;
    apply(&nobody);
    return;
  }
  apply(responder.get());
}

bool platform_service::Apply(const write& wanted) {
  const auto found = rows_.find(wanted.key);
  const uint64_t version = found == rows_.end() ? 0 : found->second.version;
  if (wanted.expected_version != version) return false;
  rows_[wanted.key] = {wanted.value, version + 1};
  return true;
}

std::string platform_service::RowText(const std::string& key) const {
  const auto found = rows_.find(key);
  if (found == rows_.end()) return RowJson(key, "", 0).dump();
  return RowJson(key, found->second.value, found->second.version).dump();
}

void platform_service::ListRows(const net::http_request& request,
                                net::http_responder* responder) const {
  const std::string prefix = Unescape(request.QueryArgument("prefix"));
  const std::string limit_text = request.QueryArgument("limit");
  const size_t limit = std::strtoull(limit_text.c_str(), nullptr, 10);
  json rows = json::array();
  const std::string after = Unescape(request.QueryArgument("after"));
  for (auto at = after.empty() ? rows_.lower_bound(prefix)
                               : rows_.upper_bound(after);
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
  const std::string name =
      Unescape(request.path.substr(sizeof(kObjectPrefix) - 1));
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
  around_.weights.Load([this, responder] {
    responder->Send(200, kJson,
                    json{{"bytes", around_.weights.bytes()}}.dump());
  });
}

void platform_service::ChangeVms(const std::string& vms_json) {
  if (faults_.vm_list_frozen) return;
  if (options_.vm_list_lag_ms == 0) {
    vms_json_ = vms_json;
    return;
  }
  around_.loop.Schedule(common::milliseconds(options_.vm_list_lag_ms),
                        [this, vms_json] { vms_json_ = vms_json; });
}

void platform_service::SendLedger(net::http_responder* responder) const {
  json entries = json::array();
  for (const ledger_entry& entry : around_.operations.entries()) {
    entries.push_back({{"operation_key", entry.operation_key},
                       {"operation_token", entry.operation_token},
                       {"target", entry.target}});
  }
  responder->Send(200, kJson, json{{"operations", entries}}.dump());
}

void platform_service::SendOrders(net::http_responder* responder) const {
  json entries = json::array();
  for (const order_entry& entry : around_.orders.entries()) {
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
  const std::optional<fault_document> wanted = ParseFaults(request.body);
  if (!wanted) {
    responder->Send(400, kJson, "{\"error\":\"not a fault document\"}");
    return;
  }
  if (!wanted->about_targets) faults_ = wanted->of_platform;
  size_t changed = 0;
  for (target_service* target : targets_) {
    if (!wanted->ends_all && !wanted->Selects(target->options())) continue;
    target->SetFaults(wanted->of_targets);
    ++changed;
  }
  responder->Send(200, kJson, json{{"targets", changed}}.dump());
}

}  // namespace wisteriadale::standin
