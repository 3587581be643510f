#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace wisteriadale::net {

/// Which end of a WebSocket connection sends a frame.
enum class frame_sender { kClient, kServer };

/// Appends a message as one unfragmented binary frame (RFC 6455).
/// @param message payload of the frame
/// @param sender  the frames of clients carry a mask
/// @param to      buffer to append to
void AppendBinaryFrame(std::string_view message, frame_sender sender,
                       std::string* to);

/// Appends the answer to a ping of a client.
/// @param payload of the ping, at most 125 bytes
void AppendPong(std::string_view payload, std::string* to);

/// @param key the header Sec-WebSocket-Key of a handshake
/// @return the header Sec-WebSocket-Accept of its response
std::string WebsocketAccept(std::string_view key);

/// Reads the frames that a client sends (RFC 6455).
class websocket_reader {
 public:
  enum class outcome {
    kOpen,       ///< more frames may follow
    kClosed,     ///< the client closes the connection
    kMalformed,  ///< not the protocol, or a message over the limit
  };

  /// What arrives; either may be empty.
  struct handlers {
    std::function<void(std::string_view)> on_message;
    std::function<void(std::string_view)> on_ping;
  };

  /// @param max_message_bytes limit of one message, in all its frames
  explicit websocket_reader(size_t max_message_bytes)
      : max_message_bytes_(max_message_bytes) {}

  /// Reads the next bytes of the connection.
  /// @param wanted asked after each message; false: the rest is dropped
  outcome Read(std::string_view data, const handlers& to,
               const std::function<bool()>& wanted);

  /// @return bytes that are held until a message is complete
  size_t held() const { return input_.size() + message_.size(); }

 private:
  struct header {
    uint8_t opcode = 0;
    bool final = false;
    uint64_t length = 0;  ///< of the payload, in bytes
    size_t size = 0;      ///< of the header, in bytes; 0: it is not complete
  };

  header ParseHeader(std::string_view input) const;
  bool IsAllowed(const header& frame) const;
  outcome OnFrame(const header& frame, std::string_view payload,
                  const handlers& to);

  size_t max_message_bytes_;
  std::string input_;
  std::string message_;  ///< frames of a message so far
  bool within_message_ = false;
};

}  // namespace wisteriadale::net
