#pragma once

#include <memory>
#include <string>

#include "core/operations/doubt_list.h"
#include "core/routing/target_table.h"
#include "net/http_server.h"
#include "router/configuration_watch.h"

namespace wisteriadale::router {

/// HTTP for operators: status, targets, configuration and operations in doubt.
class operator_api {
 public:
  operator_api(core::target_table& targets, configuration_watch& watch,
               core::doubt_list& doubts, std::string router_name,
               std::string key_sha256)
      : targets_(targets),
        watch_(watch),
        doubts_(doubts),
        router_name_(std::move(router_name)),
        key_sha256_(std::move(key_sha256)) {}

  /// @return whether the path was one of the operators'
  bool Handle(const net::http_request& request,
              const std::shared_ptr<net::http_responder>& responder);

 private:
  bool Authorised(const net::http_request& request) const;
  void SendStatus(net::http_responder* responder) const;
  void SendTargets(net::http_responder* responder) const;
  void SendConfiguration(net::http_responder* responder) const;
  void ListDoubts(const net::http_request& request,
                  const std::shared_ptr<net::http_responder>& responder);
  void SettleDoubt(const net::http_request& request,
                   const std::shared_ptr<net::http_responder>& responder);
  void ApplyConfiguration(
      const net::http_request& request,
      const std::shared_ptr<net::http_responder>& responder);

  core::target_table& targets_;
  configuration_watch& watch_;
  core::doubt_list& doubts_;
  std::string router_name_;
  std::string key_sha256_;
};

}  // namespace wisteriadale::router
