#include "standin/target_service.h"

#include <array>
#include <nlohmann/json.hpp>

#include "common/digest.h"

namespace wisteriadale::standin {
namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 16> kWords = {
    "the ",   "spiral ", "frame ", "needs ",  "four ", "rings ",
    "of ",    "steel ",  "rod ",   "welded ", "at ",   "each ",
    "joint ", "before ", "zinc ",  "coating "};

}  // namespace

struct target_service::run {
  std::shared_ptr<net::http_responder> responder;
  std::string text;
  size_t position = 0;
  bool closed = false;
};

std::string GeneratedText(const std::string& input, uint32_t tokens) {
  common::seeded_random random(common::Hash64(input));
  std::string text;
  for (uint32_t i = 0; i < tokens; ++i) {
    text.append(kWords[random.Below(kWords.size())]);
  }
  return text;
}

std::optional<std::unique_ptr<target_service>> target_service::Create(
    net::event_loop& loop, const std::string& address,
    const target_options& options, ledger& operations) {
  std::unique_ptr<target_service> service(
      new target_service(loop, options, operations));
  target_service* raw = service.get();
  net::http_server::options listen;
  listen.address = address;
  listen.port = options.port;
  listen.max_body_bytes = 8 << 20;
  std::optional<std::unique_ptr<net::http_server>> server =
      net::http_server::Create(
          loop, listen,
          [raw](const net::http_request& request,
                const std::shared_ptr<net::http_responder>& responder) {
            raw->OnRun(request, responder);
          });
  if (!server) return std::nullopt;
  service->server_ = std::move(*server);
  return service;
}

void target_service::OnRun(
    const net::http_request& request,
    const std::shared_ptr<net::http_responder>& responder) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    responder->Send(400, "application/json", "{\"error\":\"not JSON\"}");
    return;
  }
  const std::string token = body.value("operation_token", "");
  if (!token.empty()) {
    operations_.Add({body.value("operation_key", ""), token, options_.id});
  }
  ++running_;
  const std::shared_ptr<run> current = std::make_shared<run>();
  current->responder = responder;
  responder->OnClose([this, current] {
    current->closed = true;
    --running_;
  });
  responder->StartStream(200, "application/x-ndjson");
  const std::string input = body.value("input", json::object()).dump();
  if (options_.kind == "engine") {
    current->text = GeneratedText(input, options_.tokens);
    current->position = body.value("stream_prefix", "").size();
    NextToken(current);
    return;
  }
  json result = {{"stage", body.value("stage", "")},
                 {"target", options_.id},
                 {"digest", common::Sha256Hex(input).substr(0, 16)}};
  if (!token.empty()) result["recorded_as"] = token.substr(0, 8);
  loop_.Schedule(common::duration(options_.service_us),
                 [this, current, result] {
                   if (current->closed) return;
                   --running_;
                   current->responder->Write(
                       json{{"done", true}, {"result", result}}.dump() + "\n");
                   current->responder->Finish();
                 });
}

void target_service::NextToken(const std::shared_ptr<run>& current) {
  if (current->closed) return;
  if (current->position >= current->text.size()) {
    --running_;
    current->responder->Write("{\"done\":true}\n");
    current->responder->Finish();
    return;
  }
  const size_t end = current->text.find(' ', current->position);
  const size_t size = end - current->position + 1;
  const std::string token = current->text.substr(current->position, size);
  current->position += size;
  current->responder->Write(json{{"chunk", token}}.dump() + "\n");
  loop_.Schedule(common::duration(options_.token_us),
                 [this, current] { NextToken(current); });
}

}  // namespace wisteriadale::standin
