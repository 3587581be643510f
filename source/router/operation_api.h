#pragma once

#include <memory>
#include <string_view>

#include "core/operations/in_doubt_resolver.h"
#include "net/http_server.h"

namespace wisteriadale::router {

/// The operators' paths below `operations`: the state of an operation, the list
/// of operations in doubt, and settling them manually. The caller must already
/// be authorised as an operator.
class operation_api {
 public:
  operation_api(core::operation_store& operations,
                core::in_doubt_resolver& in_doubt)
      : operations_(operations), in_doubt_(in_doubt) {}

  /// @param subpath path below the operators' prefix
  /// @return whether the path belongs to this interface; the request is then
  /// answered
  bool Handle(std::string_view subpath, const net::http_request& request,
              const std::shared_ptr<net::http_responder>& responder);

 private:
  void SendOperation(std::string_view operation_key,
                     const std::shared_ptr<net::http_responder>& responder);
  void SendInDoubt(const net::http_request& request,
                   const std::shared_ptr<net::http_responder>& responder);
  void Settle(const net::http_request& request,
              const std::shared_ptr<net::http_responder>& responder);

  core::operation_store& operations_;
  core::in_doubt_resolver& in_doubt_;
};

}  // namespace wisteriadale::router
