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
  kChunkHeaderTooLarge,  ///< sizes and extensions of its chunks
  kTrailerTooLarge,
  kTruncated,  ///< the connection closed before the end of the message
};

/// Part of a message that has a size limit.
enum class message_part {
  kStartLine,
  kHeaders,
  kChunkHeader,
  kTrailer,
  kBody,
  kSkipped,   ///< interim responses, and responses to other calls
  kNoMessage  ///< bytes on a connection on which no message is expected
};

/// @return the name used in logs and metrics
std::string_view ToString(message_part part);

/// A part of a message that exceeds its limit.
struct exceeded_limit {
  message_part part = message_part::kBody;
  uint64_t bytes = 0;    ///< received or announced
  uint64_t allowed = 0;  ///< in bytes
};

/// Size limits of a message.
struct http1_limits {
  /// Limit of the start line and headers, and of the chunk headers and trailers
  /// beyond what short chunks need.
  size_t max_head_bytes = size_t{16} * 1024;
  uint64_t max_body_bytes = uint64_t{4} << 20;
};

/// Bytes of a chunk header, with the line end of the chunk before it, that do
/// not count towards the limit.
constexpr size_t kMaxShortChunkHeader = 16;

/// Strict parser of one message: rejects conflicting lengths, folded headers
/// and transfer codings other than `chunked`. Trailers are checked and dropped.
/// The result does not depend on how the bytes are divided among calls, and the
/// work is linear in the size of the message.
class http1_parser {
 public:
  virtual ~http1_parser() = default;
  /// @param head_only the message has no body whatever its headers say
  static std::unique_ptr<http1_parser> ForRequest(const http1_limits& limits);
  static std::unique_ptr<http1_parser> ForResponse(const http1_limits& limits,
                                                   bool head_only);

  /// Parses the next bytes. Bytes that are not consumed must be passed again,
  /// followed by those that arrived since; unless an error is returned, they
  /// are fewer than max_head_bytes and kMaxShortChunkHeader together.
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
  /// @return the limit that the message exceeds, after an error that says so
  virtual const std::optional<exceeded_limit>& exceeded() const = 0;
  /// @return bytes examined so far; those examined twice count twice
  virtual uint64_t examined_bytes() const = 0;
};

}  // namespace wisteriadale::net
