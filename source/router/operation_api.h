#pragma once

#include <memory>
#include <string_view>

#include "core/operations/in_doubt_resolver.h"
#include "net/http_server.h"

namespace wisteriadale::router {

/// The operators' paths below `operations`: what became of one, those in doubt,
/// and settling them by hand. The caller is known to be an operator.
class operation_api {
 public:
  operation_api(core::operation_store& operations,
                core::in_doubt_resolver& doubts)
      : operations_(operations), doubts_(doubts) {}

  /// @param what path below the operators' prefix
  /// @return whether the path was one of these
  bool Handle(std::string_view what, const net::http_request& request,
              const std::shared_ptr<net::http_responder>& responder);

 private:
  void SendOperation(std::string_view row,
                     const std::shared_ptr<net::http_responder>& responder);
  void SendDoubts(const net::http_request& request,
                  const std::shared_ptr<net::http_responder>& responder);
  void Settle(const net::http_request& request,
              const std::shared_ptr<net::http_responder>& responder);

  core::operation_store& operations_;
  core::in_doubt_resolver& doubts_;
};

}  // namespace wisteriadale::router
