#pragma once

#include <memory>

#include "core/operations/doubt_list.h"
#include "net/http_server.h"

namespace wisteriadale::router {

/// HTTP for operators: operations that stay in doubt.
class doubt_api {
 public:
  explicit doubt_api(core::doubt_list& doubts) : doubts_(doubts) {}

  /// Lists operations in doubt; `min_age_ms` leaves out younger ones.
  void List(const net::http_request& request,
            const std::shared_ptr<net::http_responder>& responder);
  /// Settles one as an operator decided.
  void Settle(const net::http_request& request,
              const std::shared_ptr<net::http_responder>& responder);

 private:
  core::doubt_list& doubts_;
};

}  // namespace wisteriadale::router
