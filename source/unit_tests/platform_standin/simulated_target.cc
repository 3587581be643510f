#include "unit_tests/platform_standin/simulated_target.h"

#include <algorithm>

#include "net/endpoint.h"

namespace wisteriadale::platform_standin {
namespace {

using nlohmann::json;

constexpr char kRequestId[] = "X-Wisteriadale-Request-Id";
constexpr char kNotExecuted[] = "X-Wisteriadale-Not-Executed";
constexpr char kSignature[] = "X-Wisteriadale-Response-Signature";
constexpr char kExpectInstance[] = "X-Wisteriadale-Expect-Instance";
constexpr char kServerLimit[] = "Server-Limit";
constexpr char kPromptPrefix[] = "X-Wisteriadale-Prompt-Prefix";

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char letter) { return std::tolower(letter); });
  return text;
}

}  // namespace

std::string FormatEvent(uint32_t number) {
  return "id: " + std::to_string(number) + "\ndata: part" +
         std::to_string(number) + "\n\n";
}

target_run MakeRun(const std::string& target, const net::message_head& head,
                   const std::string& body, common::time_point at) {
  target_run run;
  run.target_id = target;
  run.method = head.method;
  run.path = head.target;
  run.body = body;
  run.at_ms = common::ToMillis(at.time_since_epoch());
  run.headers = json::object();
  for (const net::http_header& header : head.headers) {
    run.headers[LowerCase(header.name)] = header.value;
  }
  const std::string* id = head.Find(kRequestId);
  if (id != nullptr) run.request_id = *id;
  return run;
}

bool simulated_target::Listen(uint16_t port) {
  address_ = net::FormatEndpoint({"127.0.0.1", port});
  server_ = net::http1_server::Create(
      loop_, clock_, {"127.0.0.1", port}, net::http1_server_limits(),
      [this](const std::shared_ptr<net::http1_exchange>& exchange) {
        Handle(exchange);
      });
  return server_ != nullptr;
}

void simulated_target::Handle(
    const std::shared_ptr<net::http1_exchange>& exchange) {
  const net::message_head& head = exchange->head();
  const std::string* expected = head.Find(kExpectInstance);
  if (expected != nullptr && *expected != id_) {
    exchange->Send(421, "Misdirected Request", ResponseHeaders(*exchange), "");
    return;
  }
  if (head.target == "/v1/stage-free") {
    Record(*exchange);
    exchange->Send(200, "OK", {}, "{}");
    return;
  }
  if (behaviour_.mode == "shed") {
    Record(*exchange, true);
    std::vector<net::http_header> headers = ResponseHeaders(*exchange);
    headers.push_back({kNotExecuted, "1"});
    exchange->Send(503, "Service Unavailable", headers, "");
    return;
  }
  Record(*exchange);
  loop_.Schedule(common::milliseconds(behaviour_.work_ms), [this, exchange] {
    exchange->head().target == "/v1/stage-run" ? MakePieces(exchange)
                                               : Run(exchange);
  });
}

void simulated_target::MakePieces(
    const std::shared_ptr<net::http1_exchange>& exchange) {
  if (behaviour_.mode == "lose") {
    exchange->Abort();
    return;
  }
  if (behaviour_.mode == "mute") {
    unanswered_.push_back(exchange);
    return;
  }
  const json request = json::parse(exchange->body(), nullptr, false);
  for (const json& item : request["items"]) {
    if (!behaviour_.crashing_key.empty() &&
        item.value("key", "") == behaviour_.crashing_key) {
      exchange->Abort();
      return;
    }
  }
  json items = json::array();
  for (size_t i = 0; i < request["items"].size(); ++i) {
    items.push_back(
        {{"handle", address_ + "/" + std::to_string(++last_handle_)}});
  }
  exchange->Send(200, "OK", ResponseHeaders(*exchange),
                 json{{"items", items}}.dump());
}

void simulated_target::Run(
    const std::shared_ptr<net::http1_exchange>& exchange) {
  std::vector<net::http_header> headers = ResponseHeaders(*exchange);
  const std::string* parts = exchange->head().Find(kPromptPrefix);
  const bool crashes =
      !behaviour_.crashing_part.empty() && parts != nullptr &&
      parts->find(behaviour_.crashing_part + ":") != std::string::npos;
  if (behaviour_.mode == "lose" || crashes) {
    exchange->Abort();
  } else if (behaviour_.mode == "mute") {
    unanswered_.push_back(exchange);
  } else if (behaviour_.mode == "copy") {
    RespondTwice(exchange);
  } else if (behaviour_.mode == "fail") {
    headers.push_back({kSignature, id_});
    exchange->Send(behaviour_.status, "Failure", headers,
                   "broken" + std::string(behaviour_.padding, '.'));
  } else if (behaviour_.mode == "unsigned") {
    exchange->Send(200, "OK", headers,
                   "not mine" + std::string(behaviour_.padding, '.'));
  } else if (exchange->head().Find("Accept") != nullptr) {
    Stream(exchange);
  } else {
    headers.push_back({kSignature, id_});
    exchange->Send(
        200, "OK", headers,
        "ran " + exchange->body() + std::string(behaviour_.padding, '.'));
  }
}

void simulated_target::RespondTwice(
    const std::shared_ptr<net::http1_exchange>& exchange) {
  constexpr common::duration kDelay = std::chrono::milliseconds(200);
  std::vector<net::http_header> headers = ResponseHeaders(*exchange);
  headers.push_back({kSignature, id_});
  const std::string body = "ran " + exchange->body();
  std::string copy = "HTTP/1.1 200 OK\r\n";
  for (const net::http_header& header : headers) {
    copy.append(header.name).append(": ").append(header.value).append("\r\n");
  }
  copy.append("Content-Length: " + std::to_string(body.size()) + "\r\n\r\n");
  copy.append(body);
  exchange->SendHead(200, "OK", headers,
                     {net::body_framing::kLength, body.size()});
  exchange->SendBody(body);
  // The exchange stays open until then, so that the copy precedes the response
  // to the next request.
  loop_.Schedule(kDelay, [exchange, copy] {
    exchange->SendBody(copy);
    exchange->Finish();
  });
}

void simulated_target::Stream(
    const std::shared_ptr<net::http1_exchange>& exchange) {
  std::vector<net::http_header> headers = ResponseHeaders(*exchange);
  headers.push_back({kSignature, id_});
  headers.push_back({"Content-Type", "text/event-stream"});
  exchange->SendHead(200, "OK", headers, {net::body_framing::kChunked});
  const std::string* last = exchange->head().Find("Last-Event-Id");
  SendEvent(exchange, last == nullptr ? 1 : std::stoul(*last) + 1);
}

void simulated_target::SendEvent(
    const std::shared_ptr<net::http1_exchange>& exchange, uint32_t number) {
  if (number > behaviour_.events) {
    exchange->Finish();
    return;
  }
  if (behaviour_.mode == "cut" && number > behaviour_.cut_after) {
    exchange->SendBody(FormatEvent(number).substr(0, 8));
    loop_.Schedule(common::milliseconds(behaviour_.event_ms),
                   [exchange] { exchange->Abort(); });
    return;
  }
  if (behaviour_.mode == "endless") {
    if (exchange->PendingBytes() == 0) {
      exchange->SendBody(std::string(size_t{64} * 1024, 'x'));
    }
    loop_.Schedule(common::milliseconds(behaviour_.event_ms), [this, exchange] {
      if (!exchange->CallerDisconnected()) SendEvent(exchange, 1);
    });
    return;
  }
  if (behaviour_.mode == "half" && number > behaviour_.cut_after) {
    exchange->SendBody(FormatEvent(number).substr(0, 8));
    exchange->Finish();
    return;
  }
  exchange->SendBody(FormatEvent(number));
  loop_.Schedule(common::milliseconds(behaviour_.event_ms),
                 [this, exchange, number] { SendEvent(exchange, number + 1); });
}

void simulated_target::Record(const net::http1_exchange& exchange,
                              bool rejected) {
  runs_.push_back(MakeRun(id_, exchange.head(), exchange.body(), clock_.Now()));
  runs_.back().rejected = rejected;
}

std::vector<net::http_header> simulated_target::ResponseHeaders(
    const net::http1_exchange& exchange) const {
  std::vector<net::http_header> headers;
  for (const std::string& limit : behaviour_.limits) {
    headers.push_back({kServerLimit, limit});
  }
  for (size_t i = 1; i < behaviour_.headers.size(); i += 2) {
    headers.push_back({behaviour_.headers[i - 1], behaviour_.headers[i]});
  }
  const std::string* id = exchange.head().Find(kRequestId);
  if (id != nullptr) {
    headers.push_back(
        {kRequestId, behaviour_.mode == "foreign" ? "another" : *id});
  }
  return headers;
}

}  // namespace wisteriadale::platform_standin
