#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/http_message.h"

namespace wisteriadale::net {

/// What determines where the body of a message ends.
enum class body_framing {
  kNone,        ///< the message has no body
  kLength,      ///< its Content-Length
  kChunked,     ///< its last chunk
  kUntilClose,  ///< the end of the connection, so that a truncated body can't
                ///< be told from a complete one unless the connection is reset
};

/// @return the name used in logs
std::string_view ToString(body_framing framing);

/// Start line and headers of an HTTP/1 message. Header names are as received.
struct message_head {
  std::string method;       ///< of a request
  std::string target;       ///< of a request: path and query, unchanged
  int status = 0;           ///< of a response
  std::string reason;       ///< of a response
  int minor_version = 1;    ///< of HTTP/1
  bool keep_alive = false;  ///< the sender keeps the connection open
  body_framing framing = body_framing::kNone;
  std::optional<uint64_t> content_length;
  std::vector<http_header> headers;

  /// @param name in any case
  /// @return the first header of that name, or nothing
  const std::string* Find(std::string_view name) const;
  /// @return how many headers have that name
  size_t Count(std::string_view name) const;
};

/// @return whether two header names are the same, in any case
bool SameName(std::string_view left, std::string_view right);

/// Why a message is rejected.
enum class http1_error {
  kNone,
  kMalformed,  ///< not HTTP/1, or ambiguous framing
  kHeadTooLarge,
  kBodyTooLarge,
  kTruncated,  ///< the connection closed before the end of the message
};

/// Size limits of a message.
struct http1_limits {
  size_t max_head_bytes = size_t{16} * 1024;
  uint64_t max_body_bytes = uint64_t{4} << 20;
};

/// Strict parser of one message: rejects conflicting lengths, folded headers
/// and transfer codings other than `chunked`.
class http1_parser {
 public:
  virtual ~http1_parser() = default;
  /// @param head_only the message has no body whatever its headers say
  static std::unique_ptr<http1_parser> ForRequest(const http1_limits& limits);
  static std::unique_ptr<http1_parser> ForResponse(const http1_limits& limits,
                                                   bool head_only);

  /// Parses the next bytes. Bytes that are not consumed must be passed again,
  /// followed by those that arrived since.
  /// @param input    bytes of the connection
  /// @param consumed set to the number of bytes consumed
  /// @param body     decoded bytes of the body are appended to it
  virtual http1_error Parse(std::string_view input, size_t* consumed,
                            std::string* body) = 0;
  /// Handles that the peer closed the connection after sending everything.
  /// @return kTruncated if the message is incomplete
  virtual http1_error End() = 0;
  virtual bool head_complete() const = 0;
  virtual bool complete() const = 0;
  virtual const message_head& head() const = 0;
};

}  // namespace wisteriadale::net
