#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/channel.h"
#include "net/event_loop.h"
#include "net/http_message.h"

namespace wisteriadale::net {

/// An outgoing request.
struct http_call {
  std::string method = "GET";
  endpoint to;
  std::string path;
  std::vector<http_header> headers;
  std::string body;
  /// Over TLS, with the certificate of the loop's client side.
  bool tls = false;
  /// For the whole call.
  common::duration timeout = std::chrono::seconds(10);
  /// Until the answer's headers have come; 0: only `timeout` applies.
  common::duration first_byte_timeout{0};
  /// Between two pieces of the body; 0: only `timeout` applies.
  common::duration idle_timeout{0};
};

/// How a call ended.
struct http_result {
  int status = 0;          ///< 0: no answer came
  bool complete = false;   ///< the body arrived to its end
  bool connected = false;  ///< a connection opened, so the request may have run
  std::string body;        ///< empty when chunks were taken by a handler
  std::string failure;     ///< why it is not complete
};

/// A call in progress.
class http_transfer {
 public:
  virtual ~http_transfer() = default;
  /// Drops the connection; no handler is called afterwards.
  virtual void Cancel() = 0;
};

/// Starts a call.
/// @param on_done  called exactly once, unless cancelled
/// @param on_chunk when set, takes the body piece by piece
std::shared_ptr<http_transfer> StartHttpCall(
    event_loop& loop, http_call call,
    std::function<void(const http_result&)> on_done,
    std::function<void(std::string_view)> on_chunk = {});

}  // namespace wisteriadale::net
