#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "net/http1_parser.h"
#include "net/tcp_stream.h"

namespace wisteriadale::net {

/// Why a call has no complete response.
enum class call_failure {
  kNotSent,  ///< no connection opened: no byte of the request was sent
  /// The connection ended before the response's head; the request may have run.
  kLost,
  kTruncated,  ///< the server closed the connection within the response
  kReset,      ///< the connection was reset or failed within the response
  kMalformed,  ///< the bytes received are not a valid response
  kTimedOut,   ///< no complete response within the call's timeout
};

/// @return the name used in logs
std::string_view ToString(call_failure failure);
/// @return whether the server's process may have ended: its connection did,
/// after the request was sent and before the response was complete
bool IndicatesLostServer(call_failure failure);

/// Receives the response to a call. OnComplete or OnFailure is called once, as
/// the last event.
class response_handler {
 public:
  virtual ~response_handler() = default;
  virtual void OnHead(const message_head& head) = 0;
  virtual void OnBody(std::string_view data) = 0;
  virtual void OnComplete() = 0;
  virtual void OnFailure(call_failure why) = 0;
};

/// A request that the client sends to a server.
struct outgoing_request {
  endpoint to;
  std::string method = "GET";
  std::string target = "/";          ///< path and query
  std::vector<http_header> headers;  ///< without message framing
  std::string_view body;             ///< accessed during Start only
  /// The response must echo this value in this header, unless the header is
  /// empty; a response with another value belongs to an earlier call and is
  /// skipped.
  std::string echo_header;
  std::string echo_value;
  /// Whether a persistent connection may carry the request. The server may
  /// close an idle connection just as the request is sent.
  bool reuse_connection = true;
  common::duration connect_timeout = std::chrono::milliseconds(300);
  /// A longer body makes the response malformed.
  uint64_t max_body_bytes = uint64_t{64} << 20;
  /// From the start of the call to the end of the response; 0: no timeout.
  common::duration timeout{0};
};

/// A call in progress. Destroying it cancels the call and closes its
/// connection.
class http1_call {
 public:
  virtual ~http1_call() = default;
  /// @return whether bytes of the request may have reached the server
  virtual bool sent() const = 0;
  /// Stops reading the response until Resume is called.
  virtual void Pause() = 0;
  virtual void Resume() = 0;
};

struct http1_client_options {
  /// Longest time that an idle connection is kept open.
  common::duration idle_timeout = std::chrono::milliseconds(2500);
  size_t max_idle_per_server = 8;
  size_t max_head_bytes = size_t{64} * 1024;
  /// Longest interim and foreign responses together that a call skips.
  uint64_t max_skipped_bytes = uint64_t{1} << 20;
};

/// HTTP/1.1 client with a pool of persistent connections, each of which carries
/// one call at a time.
class http1_client {
 public:
  http1_client(event_loop& loop, common::clock& clock,
               const http1_client_options& options);
  ~http1_client();
  http1_client(const http1_client&) = delete;
  http1_client& operator=(const http1_client&) = delete;

  /// Starts a call. The handler must outlive the call; it is not called within
  /// Start.
  std::unique_ptr<http1_call> Start(const outgoing_request& request,
                                    response_handler& handler);

  class connection;
  class call;

 private:
  using idle_list = std::vector<std::unique_ptr<connection>>;

  /// @param id of the call; a connection that has carried it is not taken
  std::unique_ptr<connection> TakeFromPool(const std::string& server,
                                           std::string_view id);
  void ReturnToPool(std::unique_ptr<connection> idle);
  void Discard(std::unique_ptr<connection> dropped);
  void EvictExpired();

  event_loop& loop_;
  common::clock& clock_;
  http1_client_options options_;
  std::map<std::string, idle_list, std::less<>> idle_;
  common::timer_id evict_timer_ = 0;
};

}  // namespace wisteriadale::net
