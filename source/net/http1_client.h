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

/// Why a call has no complete answer.
enum class call_failure {
  kNotSent,    ///< no connection opened: no byte of the request left
  kLost,       ///< the connection ended before the answer's head
  kTruncated,  ///< the connection ended within the answer
  kMalformed,  ///< what came is no answer, or another one's
  kTimedOut,   ///< no answer within the call's bound
};

/// Takes the answer to a call. OnComplete or OnFailure ends it, once.
class response_handler {
 public:
  virtual ~response_handler() = default;
  virtual void OnHead(const message_head& head) = 0;
  virtual void OnBody(std::string_view data) = 0;
  virtual void OnComplete() = 0;
  virtual void OnFailure(call_failure why) = 0;
};

/// A request to a server.
struct outgoing_request {
  endpoint to;
  std::string method = "GET";
  std::string target = "/";          ///< path and query
  std::vector<http_header> headers;  ///< without those that frame the message
  std::string_view body;             ///< read during Start only
  /// An answer must echo this value in this header; one that echoes another
  /// value is left over from an earlier call and is skipped.
  std::string echo_header;
  std::string echo_value;
  /// Whether a connection that was used before may carry the request. A server
  /// may close such a connection at the same moment.
  bool reuse_connection = true;
  common::duration connect_timeout = std::chrono::milliseconds(300);
  /// From the start to the end of the answer; 0: none.
  common::duration timeout{0};
};

/// A call in progress. Destroying it drops the call and its connection.
class http1_call {
 public:
  virtual ~http1_call() = default;
  /// @return whether bytes of the request may have reached the server
  virtual bool sent() const = 0;
  /// Stops and resumes reading the answer.
  virtual void Pause() = 0;
  virtual void Resume() = 0;
};

struct http1_client_options {
  /// Longest time that an unused connection is kept.
  common::duration idle_limit = std::chrono::milliseconds(2500);
  size_t max_idle_per_server = 8;
  http1_limits limits{size_t{64} * 1024, uint64_t{64} << 20};
};

/// Calls servers over kept connections, one call at a time on each.
class http1_client {
 public:
  http1_client(event_loop& loop, common::clock& clock,
               const http1_client_options& options);
  ~http1_client();
  http1_client(const http1_client&) = delete;
  http1_client& operator=(const http1_client&) = delete;

  /// Starts a call. The handler must outlive it; nothing is called within
  /// Start.
  std::unique_ptr<http1_call> Start(const outgoing_request& request,
                                    response_handler& handler);

  class connection;
  class call;

 private:
  using idle_list = std::vector<std::unique_ptr<connection>>;

  std::unique_ptr<connection> TakeIdle(const std::string& server);
  void Keep(std::unique_ptr<connection> idle);
  void Discard(std::unique_ptr<connection> dropped);
  void Sweep();

  event_loop& loop_;
  common::clock& clock_;
  http1_client_options options_;
  std::map<std::string, idle_list, std::less<>> idle_;
  common::timer_id sweep_timer_ = 0;
};

}  // namespace wisteriadale::net
