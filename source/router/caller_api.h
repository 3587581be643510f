#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "core/pipeline/recent_requests.h"
#include "core/pipeline/request_executor.h"
#include "net/http_server.h"
#include "router/configuration_service.h"

namespace wisteriadale::router {

/// Limits on what callers may ask for.
struct caller_limits {
  int64_t max_deadline_ms = 600000;
};

/// HTTP for callers: requests, their state and operations.
class caller_api {
 public:
  caller_api(core::executor_dependencies& context, configuration_service& watch,
             caller_limits limits)
      : context_(context), watch_(watch), limits_(limits) {}

  /// @return whether the path was one of the callers'
  bool Handle(const net::http_request& request,
              const std::shared_ptr<net::http_responder>& responder);

  void StopAdmitting() { admitting_ = false; }
  size_t in_flight() const { return in_flight_; }
  /// @param action called once when nothing is in flight any more
  void OnIdle(std::function<void()> action);

 private:
  friend class answer_sink;

  void StartRequest(const net::http_request& request,
                    const std::shared_ptr<net::http_responder>& responder);
  /// Asks the admission policy; answers the caller when it refuses.
  bool Refused(const core::configuration& configuration,
               const core::organisation_entry& organisation,
               const core::pipeline_plan& plan, common::milliseconds deadline,
               net::http_responder* responder);
  bool Convicted(const core::request_description& description) const;
  void Execute(core::request_description description,
               const std::shared_ptr<net::http_responder>& responder,
               bool events);
  void LookRequest(const net::http_request& request,
                   net::http_responder* responder);
  void LookOperation(const net::http_request& request,
                     const std::shared_ptr<net::http_responder>& responder);
  const core::organisation_entry* Authenticate(
      const core::configuration& configuration,
      const net::http_request& request) const;
  void Ended();

  core::executor_dependencies& context_;
  configuration_service& watch_;
  caller_limits limits_;
  bool admitting_ = true;
  size_t in_flight_ = 0;
  core::recent_requests recent_{core::recent_requests_options()};
  std::function<void()> on_idle_;
};

/// Sends an error that happened before a request was admitted.
void SendError(net::http_responder* responder, common::result_code code,
               std::string_view detail, std::string_view fate = "not_run");

}  // namespace wisteriadale::router
