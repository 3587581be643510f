#pragma once

#include <memory>
#include <string>

#include "core/routing/target_table.h"
#include "net/http_server.h"
#include "router/control_plane.h"
#include "router/operation_api.h"

namespace wisteriadale::router {

/// The operators' HTTP interface: status, targets, configuration, quarantine,
/// drains and orders.
class operator_api {
 public:
  operator_api(core::target_table& targets, control_plane& control,
               operation_api operations, std::string router_name,
               std::string key_sha256)
      : targets_(targets),
        control_(control),
        operations_(operations),
        router_name_(std::move(router_name)),
        key_sha256_(std::move(key_sha256)) {}

  /// @return whether a request with such a path belongs to this interface
  static bool Owns(std::string_view path);
  /// @param request without its body
  /// @return whether a request of this interface is answered without its body
  bool IsRefusedByHead(const net::http_request& request) const;
  /// @return whether the path belongs to this interface; the request is then
  /// answered
  bool Handle(const net::http_request& request,
              const std::shared_ptr<net::http_responder>& responder);

 private:
  using responder_ptr = std::shared_ptr<net::http_responder>;

  /// @return whether the request carries the operators' key, or none is set
  bool Authorised(const net::http_request& request) const;
  /// Handles GET requests.
  /// @return whether the path is known
  bool HandleRead(std::string_view subpath, const net::http_request& request,
                  const responder_ptr& responder);
  /// Handles requests with any other method.
  /// @return whether the path is known
  bool HandleChange(std::string_view subpath, const net::http_request& request,
                    const responder_ptr& responder);
  void SendStatus(net::http_responder* responder) const;
  void SendTargets(net::http_responder* responder) const;
  void SendConfiguration(net::http_responder* responder) const;
  void SendHistory(const responder_ptr& responder);
  void SendDiff(const net::http_request& request,
                const responder_ptr& responder);
  /// Sends the state of an earlier change, found by its apply token.
  void SendApplyState(std::string_view token, const net::http_request& request,
                      const responder_ptr& responder);
  void SendQuarantine(net::http_responder* responder);
  void LiftQuarantine(const net::http_request& request,
                      const responder_ptr& responder);
  void SendOrders(net::http_responder* responder) const;
  void ApplyConfiguration(const net::http_request& request,
                          const responder_ptr& responder);
  void SetPreset(const net::http_request& request,
                 const responder_ptr& responder);
  void SetDrained(bool drained, const net::http_request& request,
                  const responder_ptr& responder);
  void SubmitOrder(const net::http_request& request,
                   const responder_ptr& responder);

  core::target_table& targets_;
  control_plane& control_;
  operation_api operations_;
  std::string router_name_;
  std::string key_sha256_;
};

}  // namespace wisteriadale::router
