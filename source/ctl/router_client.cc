#include "ctl/router_client.h"

#include <charconv>

#include "common/last_error.h"
#include "net/http_client.h"

namespace wisteriadale::ctl {

exit_code router_answer::ToExitCode() const {
  constexpr int kSuccessBegin = 200;
  constexpr int kSuccessEnd = 300;
  constexpr int kStatusConflict = 409;
  constexpr int kStatusUnprocessable = 422;
  constexpr int kStatusBadRequest = 400;
  if (status == 0) return exit_code::kNoRouter;
  if (status >= kSuccessBegin && status < kSuccessEnd) return exit_code::kOk;
  if (status == kStatusConflict) return exit_code::kConflict;
  if (status == kStatusUnprocessable || status == kStatusBadRequest) {
    return exit_code::kRefused;
  }
  const bool unknown =
      body.find("\"outcome\":\"unknown\"") != std::string::npos;
  return unknown ? exit_code::kUnknown : exit_code::kFailed;
}

std::optional<router_client> router_client::Create(client_options options) {
  if (options.routers.empty()) {
    common::SetLastError(common::result_code::kBadRequest,
                         "no router address is given");
    return std::nullopt;
  }
  router_client client;
  client.options_ = std::move(options);
  return client;
}

router_answer router_client::Call(std::string_view method,
                                  std::string_view path,
                                  std::string_view body) {
  router_answer answer;
  for (const net::endpoint& router : options_.routers) {
    answer = CallOne(router, method, path, body);
    if (answer.status != 0) return answer;
    const bool never_sent = answer.failure.find("connect") != std::string::npos;
    if (method != "GET" && !never_sent) return answer;
  }
  return answer;
}

router_answer router_client::CallOne(const net::endpoint& to,
                                     std::string_view method,
                                     std::string_view path,
                                     std::string_view body) {
  router_answer answer;
  const std::optional<std::unique_ptr<net::event_loop>> loop =
      net::event_loop::Create({});
  if (!loop) {
    answer.failure = common::LastError().text;
    return answer;
  }
  net::http_call call;
  call.method = method;
  call.to = to;
  call.path = path;
  call.body = body;
  call.timeout = options_.timeout;
  if (!options_.key.empty()) {
    call.headers.push_back({"authorization", "Bearer " + options_.key});
  }
  if (!options_.operator_name.empty()) {
    call.headers.push_back({"operator", options_.operator_name});
  }
  net::event_loop& events = **loop;
  net::StartHttpCall(events, std::move(call),
                     [&answer, &events](const net::http_result& result) {
                       answer.status = result.complete ? result.status : 0;
                       answer.body = result.body;
                       answer.failure = result.failure;
                       events.Stop();
                     });
  events.Run();
  return answer;
}

std::optional<std::vector<net::endpoint>> ParseEndpoints(
    std::string_view text) {
  std::vector<net::endpoint> endpoints;
  while (!text.empty()) {
    const std::string_view item = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), item.size() + 1));
    const std::optional<net::endpoint> endpoint = net::ParseEndpoint(item);
    if (!endpoint || endpoint->port == 0) {
      common::SetLastError(
          common::result_code::kBadRequest,
          "'" + std::string(item) + "' is not of the form address:port");
      return std::nullopt;
    }
    endpoints.push_back(*endpoint);
  }
  return endpoints;
}

}  // namespace wisteriadale::ctl
