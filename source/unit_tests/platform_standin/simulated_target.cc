#include "unit_tests/platform_standin/played_target.h"

#include <algorithm>

#include "net/endpoint.h"

namespace wisteriadale::platform_standin {
namespace {

using nlohmann::json;

constexpr char kRequestId[] = "X-Wisteriadale-Request-Id";
constexpr char kNotRun[] = "X-Wisteriadale-Not-Executed";
constexpr char kSignature[] = "X-Wisteriadale-Response-Signature";
constexpr char kExpected[] = "X-Wisteriadale-Expect-Instance";

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char letter) { return std::tolower(letter); });
  return text;
}

std::string EventText(uint32_t number) {
  return "id: " + std::to_string(number) + "\ndata: part" +
         std::to_string(number) + "\n\n";
}

}  // namespace

bool played_target::Listen(uint16_t port) {
  address_ = net::EndpointText({"127.0.0.1", port});
  server_ = net::http1_server::Create(
      loop_, clock_, {"127.0.0.1", port}, net::http1_server_limits(),
      [this](const std::shared_ptr<net::http1_exchange>& exchange) {
        Handle(exchange);
      });
  return server_ != nullptr;
}

void played_target::Handle(
    const std::shared_ptr<net::http1_exchange>& exchange) {
  const net::message_head& head = exchange->head();
  const std::string* expected = head.Find(kExpected);
  if (expected != nullptr && *expected != id_) {
    exchange->Send(421, "Misdirected Request", Headers(*exchange), "");
    return;
  }
  if (head.target == "/v1/stage-free") {
    Record(*exchange);
    exchange->Send(200, "OK", {}, "{}");
    return;
  }
  if (behaviour_.how == "shed") {
    std::vector<net::http_header> headers = Headers(*exchange);
    headers.push_back({kNotRun, "1"});
    exchange->Send(503, "Service Unavailable", headers, "");
    return;
  }
  Record(*exchange);
  loop_.Schedule(common::milliseconds(behaviour_.work_ms), [this, exchange] {
    exchange->head().target == "/v1/stage-run" ? MakePieces(exchange)
                                               : Run(exchange);
  });
}

void played_target::MakePieces(
    const std::shared_ptr<net::http1_exchange>& exchange) {
  if (behaviour_.how == "lose") {
    exchange->Abort();
    return;
  }
  if (behaviour_.how == "mute") {
    unanswered_.push_back(exchange);
    return;
  }
  const json order = json::parse(exchange->body(), nullptr, false);
  json items = json::array();
  for (size_t i = 0; i < order["items"].size(); ++i) {
    items.push_back({{"handle", address_ + "/" + std::to_string(++handles_)}});
  }
  exchange->Send(200, "OK", {}, json{{"items", items}}.dump());
}

void played_target::Run(const std::shared_ptr<net::http1_exchange>& exchange) {
  std::vector<net::http_header> headers = Headers(*exchange);
  if (behaviour_.how == "lose") {
    exchange->Abort();
  } else if (behaviour_.how == "mute") {
    unanswered_.push_back(exchange);
  } else if (behaviour_.how == "fail") {
    headers.push_back({kSignature, id_});
    exchange->Send(500, "Internal Server Error", headers,
                   "broken" + std::string(behaviour_.padding, '.'));
  } else if (behaviour_.how == "unsigned") {
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

void played_target::Stream(
    const std::shared_ptr<net::http1_exchange>& exchange) {
  std::vector<net::http_header> headers = Headers(*exchange);
  headers.push_back({kSignature, id_});
  headers.push_back({"Content-Type", "text/event-stream"});
  exchange->SendHead(200, "OK", headers, std::nullopt);
  const std::string* last = exchange->head().Find("Last-Event-Id");
  SendEvent(exchange, last == nullptr ? 1 : std::stoul(*last) + 1);
}

void played_target::SendEvent(
    const std::shared_ptr<net::http1_exchange>& exchange, uint32_t number) {
  if (number > behaviour_.events) {
    exchange->Finish();
    return;
  }
  if (behaviour_.how == "cut" && number > behaviour_.cut_after) {
    exchange->SendBody(EventText(number).substr(0, 8));
    loop_.Schedule(common::milliseconds(behaviour_.event_ms),
                   [exchange] { exchange->Abort(); });
    return;
  }
  exchange->SendBody(EventText(number));
  loop_.Schedule(common::milliseconds(behaviour_.event_ms),
                 [this, exchange, number] { SendEvent(exchange, number + 1); });
}

void played_target::Record(const net::http1_exchange& exchange) {
  target_run run;
  run.target_id = id_;
  run.method = exchange.head().method;
  run.path = exchange.head().target;
  run.body = exchange.body();
  run.headers = json::object();
  for (const net::http_header& header : exchange.head().headers) {
    run.headers[LowerCase(header.name)] = header.value;
  }
  const std::string* id = exchange.head().Find(kRequestId);
  if (id != nullptr) run.request_id = *id;
  runs_.push_back(std::move(run));
}

std::vector<net::http_header> played_target::Headers(
    const net::http1_exchange& exchange) const {
  const std::string* id = exchange.head().Find(kRequestId);
  if (id == nullptr) return {};
  return {{kRequestId, behaviour_.how == "foreign" ? "another" : *id}};
}

}  // namespace wisteriadale::platform_standin
