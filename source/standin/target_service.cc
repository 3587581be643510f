#include "standin/target_service.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "common/digest.h"
#include "standin/engine.h"
#include "standin/server_pool.h"

namespace wisteriadale::standin {
namespace {

using nlohmann::json;

constexpr char kJson[] = "application/json";
constexpr char kNdjson[] = "application/x-ndjson";
constexpr int kDeferrablePriority = -1;

/// @return the service time of a call: the mean times a factor between 0.5 and
/// 1.5, derived from a hash of its input
common::duration ServiceTime(int64_t mean_us, const std::string& input) {
  constexpr double kHashRange = 18446744073709551616.0;  // 2^64
  const double factor =
      0.5 + static_cast<double>(common::Hash64(input)) / kHashRange;
  return common::duration(
      static_cast<int64_t>(static_cast<double>(mean_us) * factor));
}

}  // namespace

struct target_service::run {
  uint64_t id = 0;
  std::shared_ptr<net::http_responder> responder;
  std::string input;
  std::string prefix_key;
  std::string text;  ///< engine: the whole answer
  size_t text_position = 0;
  uint32_t written_tokens = 0;
  json result;  ///< stage, plain: the answer
};

target_service::target_service(const target_dependencies& dependencies,
                               const target_options& options)
    : dependencies_(dependencies),
      options_(options),
      cache_(options.cache_entries, options.event_gap_share, dependencies.clock,
             dependencies.random) {
  if (options_.kind == "engine") {
    executor_ = std::make_unique<engine>(options_, faults_, counts_, cache_,
                                         dependencies_.loop);
  } else {
    executor_ = std::make_unique<server_pool>(options_, faults_, counts_,
                                              dependencies_.loop);
  }
}

target_service::~target_service() = default;

std::optional<std::unique_ptr<target_service>> target_service::Create(
    const target_dependencies& dependencies, const std::string& address,
    const target_options& options) {
  std::unique_ptr<target_service> service(
      new target_service(dependencies, options));
  target_service* raw = service.get();
  net::http_server::options listen;
  listen.address = address;
  listen.port = options.port;
  listen.max_body_bytes = 8 << 20;
  std::optional<std::unique_ptr<net::http_server>> server =
      net::http_server::Create(
          dependencies.loop, listen,
          [raw](const net::http_request& request,
                const std::shared_ptr<net::http_responder>& responder) {
            raw->OnHttp(request, responder);
          });
  if (!server) return std::nullopt;
  service->server_ = std::move(*server);
  service->PublishLoad();
  return service;
}

void target_service::SetFaults(const target_faults& faults) {
  faults_ = faults;
  if (faults_.down) AbortRuns();
}

void target_service::OnHttp(
    const net::http_request& request,
    const std::shared_ptr<net::http_responder>& responder) {
  if (faults_.down || crashed_) {
    responder->Abort();
    return;
  }
  if (faults_.silent) return;
  if (request.path == "/run") {
    OnRun(request, responder);
  } else if (request.path == "/order") {
    OnOrder(request, responder);
  } else if (request.path == "/healthz") {
    responder->Send(200, kJson, json{{"ok", true}, {"models", models_}}.dump());
  } else if (request.path == "/events") {
    SendEvents(request, responder.get());
  } else if (request.path == "/load" && options_.kind != "stage") {
    responder->Send(200, kJson,
                    json{{"running", published_load_.running},
                         {"queued", published_load_.queued}}
                        .dump());
  } else {
    responder->Send(404, kJson, "{}");
  }
}

void target_service::OnRun(
    const net::http_request& request,
    const std::shared_ptr<net::http_responder>& responder) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    responder->Send(400, kJson, "{\"error\":\"body is not a JSON object\"}");
    return;
  }
  ++counts_.requests;
  if (!faults_.crash_marker.empty() &&
      request.body.find(faults_.crash_marker) != std::string::npos) {
    responder->Abort();
    Crash();
    return;
  }
  if (dependencies_.random.Uniform() < faults_.fail_share) {
    ++counts_.failed;
    responder->Send(500, kJson, "{\"error\":\"injected stage failure\"}");
    return;
  }
  const std::string token = body.value("operation_token", "");
  if (!token.empty()) {
    dependencies_.operations.Add(
        {body.value("operation_key", ""), token, options_.id});
  }
  const std::shared_ptr<run> current = std::make_shared<run>();
  current->id = next_run_id_++;
  current->responder = responder;
  current->input = body.value("input", json::object()).dump();
  current->prefix_key = body.value("prefix_key", "");
  current->text_position = body.value("stream_prefix", "").size();
  current->result = {{"stage", body.value("stage", "")},
                     {"target", options_.id},
                     {"digest", InputDigest(current->input)}};
  if (!token.empty()) current->result["recorded_as"] = token.substr(0, 8);
  runs_.emplace(current->id, current);
  responder->SetDisconnectHandler([this, id = current->id] {
    ++counts_.abandoned;
    executor_->Remove(id);
    runs_.erase(id);
  });
  responder->StartStream(200, kNdjson);
  if (faults_.hang) return;
  StartJob(current, body.value("deferrable", false), body.value("priority", 0));
}

void target_service::StartJob(const std::shared_ptr<run>& current,
                              bool deferrable, int priority) {
  job work;
  work.id = current->id;
  work.priority = deferrable ? kDeferrablePriority : priority;
  work.prefix_key = current->prefix_key;
  work.service = ServiceTime(options_.service_us, current->input);
  work.on_end = [this, current] { FinishRun(current); };
  if (options_.kind == "engine") {
    current->text = GeneratedText(current->input, options_.tokens);
    const size_t resume_at =
        std::min(current->text_position, current->text.size());
    const auto start =
        current->text.begin() + static_cast<std::ptrdiff_t>(resume_at);
    work.steps =
        static_cast<uint32_t>(std::count(start, current->text.end(), ' '));
    work.on_step = [this, current] { WriteToken(current); };
    if (work.steps == 0) {
      FinishRun(current);
      return;
    }
  }
  executor_->Submit(std::move(work));
}

void target_service::WriteToken(const std::shared_ptr<run>& current) {
  const size_t end = current->text.find(' ', current->text_position);
  if (end == std::string::npos || faults_.silent) return;
  const std::string token = current->text.substr(
      current->text_position, end - current->text_position + 1);
  current->text_position = end + 1;
  current->responder->Write(json{{"chunk", token}}.dump() + "\n");
  ++current->written_tokens;
  if (current->written_tokens != faults_.cut_after_tokens) return;
  ++counts_.failed;
  executor_->Remove(current->id);
  current->responder->SetDisconnectHandler({});
  current->responder->Abort();
  runs_.erase(current->id);
}

void target_service::FinishRun(const std::shared_ptr<run>& current) {
  // The last token may have cut the stream, which removed the run.
  if (runs_.erase(current->id) == 0 || faults_.silent) return;
  ++counts_.answered;
  json line = {{"done", true}};
  if (options_.kind != "engine") line["result"] = current->result;
  current->responder->Write(line.dump() + "\n");
  current->responder->Finish();
}

void target_service::AbortRuns() {
  const std::unordered_map<uint64_t, std::shared_ptr<run>> aborted =
      std::move(runs_);
  runs_.clear();
  for (const auto& [id, current] : aborted) {
    executor_->Remove(id);
    current->responder->SetDisconnectHandler({});
    current->responder->Abort();
  }
  counts_.failed += aborted.size();
  cache_.Clear();
}

void target_service::Crash() {
  ++counts_.crashes;
  crashed_ = true;
  AbortRuns();
  dependencies_.loop.Schedule(common::milliseconds(faults_.crash_ms),
                              [this] { crashed_ = false; });
}

void target_service::PublishLoad() {
  published_load_ = sampled_load_;
  sampled_load_ = {executor_->running(), executor_->queued()};
  dependencies_.loop.Schedule(common::milliseconds(options_.load_lag_ms),
                              [this] { PublishLoad(); });
}

void target_service::SendEvents(const net::http_request& request,
                                net::http_responder* responder) const {
  const std::string after = request.QueryArgument("after");
  json events = json::array();
  for (const cache_event& event :
       cache_.Events(std::strtoull(after.c_str(), nullptr, 10),
                     common::milliseconds(options_.event_lag_ms))) {
    events.push_back({{"sequence", event.sequence},
                      {"kind", event.stored ? "stored" : "evicted"},
                      {"prefix_key", event.prefix_key}});
  }
  responder->Send(200, kJson, json{{"events", events}}.dump());
}

void target_service::OnOrder(
    const net::http_request& request,
    const std::shared_ptr<net::http_responder>& responder) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    responder->Send(400, kJson, "{\"error\":\"body is not a JSON object\"}");
    return;
  }
  order_entry order;
  order.target = options_.id;
  order.order_id = body.value("order_id", "");
  order.fencing_number = body.value("fencing_number", uint64_t{0});
  order.kind = body.value("kind", "");
  order.argument = body.value("argument", "");
  order.authority = body.value("authority", "");
  const bool stale =
      options_.checks_fencing && order.fencing_number < highest_fencing_number_;
  const bool unauthorised =
      options_.checks_authority && order.authority != options_.authority;
  order.accepted = !stale && !unauthorised;
  dependencies_.orders.Add(order);
  if (unauthorised) {
    responder->Send(403, kJson,
                    "{\"error\":\"order of an unknown authority\"}");
  } else if (stale) {
    responder->Send(409, kJson,
                    json{{"error", "stale fencing number"},
                         {"fencing_number", highest_fencing_number_}}
                        .dump());
  } else {
    highest_fencing_number_ =
        std::max(highest_fencing_number_, order.fencing_number);
    ExecuteOrder(order, responder);
  }
}

void target_service::ExecuteOrder(
    const order_entry& order,
    const std::shared_ptr<net::http_responder>& responder) {
  const auto answer = [this, id = order.order_id, responder] {
    responder->Send(
        200, kJson,
        json{{"order_id", id}, {"models", models_}, {"role", role_}}.dump());
  };
  if (order.kind == "load_model" || order.kind == "load_adapter" ||
      order.kind == "load_version") {
    dependencies_.weights.Load([this, answer, model = order.argument] {
      models_.insert(model);
      answer();
    });
    return;
  }
  if (order.kind == "unload_model") models_.erase(order.argument);
  if (order.kind == "set_role") role_ = order.argument;
  answer();
}

}  // namespace wisteriadale::standin
