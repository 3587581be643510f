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

/// An outgoing request and its time limits.
struct http_call {
  std::string method = "GET";
  endpoint to;
  std::string path;
  std::vector<http_header> headers;
  std::string body;
  /// Over TLS, with the certificate of the loop's client side.
  bool tls = false;
  /// Limit of a body that no chunk handler receives; the call fails beyond it.
  uint64_t max_body_bytes = uint64_t{64} << 20;
  /// Time limit of the whole call.
  common::duration timeout = std::chrono::seconds(10);
  /// Time limit until the response headers arrive; 0: only `timeout` applies.
  common::duration first_byte_timeout{0};
  /// Time limit between two pieces of the body; 0: only `timeout` applies.
  common::duration idle_timeout{0};
};

/// The result of a call.
struct http_result {
  int status = 0;  ///< 0: no response arrived
  /// The whole body arrived. Never set for a response with neither a length
  /// nor chunks, whose end can't be told from a broken connection.
  bool complete = false;
  bool connected = false;  ///< a connection opened, so the request may have run
  std::string body;        ///< empty if a chunk handler received it
  std::string failure;     ///< why the call is not complete
};

/// A call in progress.
class http_transfer {
 public:
  virtual ~http_transfer() = default;
  /// Closes the connection; no handler is called afterwards.
  virtual void Cancel() = 0;
};

/// Starts a call.
/// @param on_done  called exactly once, unless cancelled
/// @param on_chunk if set, receives the body in pieces
std::shared_ptr<http_transfer> StartHttpCall(
    event_loop& loop, http_call call,
    std::function<void(const http_result&)> on_done,
    std::function<void(std::string_view)> on_chunk = {});

}  // namespace wisteriadale::net
