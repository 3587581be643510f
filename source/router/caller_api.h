#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "core/pipeline/recent_requests.h"
#include "core/pipeline/request_executor.h"
#include "net/http_server.h"
#include "router/configuration_service.h"

namespace wisteriadale::router {

/// Limits on what callers may request.
struct caller_limits {
  int64_t max_deadline_ms = 600000;
};

/// The callers' HTTP interface: runs requests, and reports the state of
/// requests and operations.
class caller_api {
 public:
  caller_api(core::executor_dependencies& dependencies,
             configuration_service& service, caller_limits limits)
      : dependencies_(dependencies), configuration_(service), limits_(limits) {}

  /// @return whether the path belongs to this interface; the request is then
  /// answered
  bool Handle(const net::http_request& request,
              const std::shared_ptr<net::http_responder>& responder);

  /// @return whether a request with such a path belongs to this interface
  static bool Owns(std::string_view path);
  /// @param request without its body
  /// @return whether a request of this interface is answered without its body
  bool IsRefusedByHead(const net::http_request& request) const;

  /// Refuses new requests from now on; those in flight go on.
  void StopAdmitting() { admitting_ = false; }
  size_t in_flight() const { return in_flight_; }
  /// @param action called once, as soon as no request is in flight; at once
  /// when none is
  void NotifyWhenIdle(std::function<void()> action);

 private:
  friend class response_writer;

  /// What the head of a request to a pipeline names.
  struct head_facts {
    std::shared_ptr<const core::configuration> configuration;
    const core::organisation_entry* organisation = nullptr;
    const core::pipeline_plan* plan = nullptr;
  };
  /// Checks all of a request to a pipeline but its body.
  /// @return kOk, or the code of the first error found
  common::result_code CheckHead(const net::http_request& request,
                                head_facts* facts) const;
  void StartRequest(const net::http_request& request,
                    const std::shared_ptr<net::http_responder>& responder);
  /// Asks the admission policy; sends the error when it refuses.
  /// @return whether the request was refused
  bool RefuseUnlessAdmitted(const core::configuration& configuration,
                            const core::organisation_entry& organisation,
                            const core::pipeline_plan& plan,
                            common::milliseconds deadline,
                            net::http_responder* responder);
  /// @return whether requests with this digest are quarantined
  bool IsQuarantined(const core::request_description& description) const;
  void Execute(core::request_description description,
               const std::shared_ptr<net::http_responder>& responder,
               bool events);
  void SendRequestState(const net::http_request& request,
                        net::http_responder* responder);
  void SendOperation(const net::http_request& request,
                     const std::shared_ptr<net::http_responder>& responder);
  /// @return the organisation whose key the request carries, or null
  const core::organisation_entry* Authenticate(
      const core::configuration& configuration,
      const net::http_request& request) const;
  void OnRequestEnded();

  core::executor_dependencies& dependencies_;
  configuration_service& configuration_;
  caller_limits limits_;
  bool admitting_ = true;
  size_t in_flight_ = 0;
  core::recent_requests recent_requests_{core::recent_requests_options()};
  std::function<void()> on_idle_;
};

/// @return the error of a request whose body is not whole, or kOk
common::result_code BodyError(const net::http_request& request);

/// Sends an error for a request that was not admitted.
/// @param detail the message; empty: the standard text of the code
/// @param fate the field `outcome`: whether the request may have run
void SendError(net::http_responder* responder, common::result_code code,
               std::string_view detail, std::string_view fate = "not_run");

}  // namespace wisteriadale::router
