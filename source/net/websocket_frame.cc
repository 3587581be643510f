#include "net/websocket_frame.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <cstdint>

#include "net/base64.h"

namespace wisteriadale::net {
namespace {

constexpr unsigned char kFinalBinary = 0x82;
constexpr unsigned char kFinalPong = 0x8a;
constexpr unsigned char kFinal = 0x80;
constexpr unsigned char kReserved = 0x70;
constexpr unsigned char kOpcode = 0x0f;
constexpr unsigned char kLengthBits = 0x7f;
// Opcodes. Those from kClose on are of control frames.
constexpr uint8_t kContinuation = 0;
constexpr uint8_t kBinary = 2;
constexpr uint8_t kClose = 8;
constexpr uint8_t kPing = 9;
constexpr uint8_t kPong = 10;
constexpr uint64_t kMaxControlBytes = 125;
constexpr size_t kMaskBytes = 4;
// RFC 6455, 1.3.
constexpr std::string_view kAcceptSuffix =
    "258EAFA5-E914-47DA-95CA-C5AB0DC85B11";
constexpr unsigned char kMasked = 0x80;
// Values of the length field that announce a longer field.
constexpr unsigned char kLength16 = 126;
constexpr unsigned char kLength64 = 127;
// An all-zero key leaves the payload as it is. Masks protect shared proxies
// from hostile clients; channels connect processes of one system.
constexpr std::string_view kMaskKey("\0\0\0\0", 4);

void AppendBigEndian(uint64_t value, int bytes, std::string* to) {
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
    to->push_back(static_cast<char>(value >> shift & 0xff));
  }
}

uint64_t ParseBigEndian(std::string_view bytes) {
  uint64_t value = 0;
  for (const char each : bytes) value = value << 8 | static_cast<uint8_t>(each);
  return value;
}

/// Removes the mask that clients apply to a payload.
void Unmask(std::string_view key, char* payload, size_t size) {
  if (key == kMaskKey) return;
  for (size_t i = 0; i < size; ++i) {
    payload[i] = static_cast<char>(payload[i] ^ key[i % kMaskBytes]);
  }
}

}  // namespace

void AppendBinaryFrame(std::string_view message, frame_sender sender,
                       std::string* to) {
  const bool client = sender == frame_sender::kClient;
  const unsigned char mask_bit = client ? kMasked : 0;
  to->reserve(to->size() + message.size() + 14);
  to->push_back(static_cast<char>(kFinalBinary));
  if (message.size() < kLength16) {
    to->push_back(static_cast<char>(mask_bit | message.size()));
  } else if (message.size() <= UINT16_MAX) {
    to->push_back(static_cast<char>(mask_bit | kLength16));
    AppendBigEndian(message.size(), 2, to);
  } else {
    to->push_back(static_cast<char>(mask_bit | kLength64));
    AppendBigEndian(message.size(), 8, to);
  }
  if (client) to->append(kMaskKey);
  to->append(message);
}

void AppendPong(std::string_view payload, std::string* to) {
  to->push_back(static_cast<char>(kFinalPong));
  to->push_back(static_cast<char>(payload.size()));
  to->append(payload);
}

std::string WebsocketAccept(std::string_view key) {
  const std::string text = std::string(key).append(kAcceptSuffix);
  std::array<unsigned char, SHA_DIGEST_LENGTH> digest;
  SHA1(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       digest.data());
  return EncodeBase64(
      {reinterpret_cast<const char*>(digest.data()), digest.size()});
}

websocket_reader::header websocket_reader::ParseHeader(
    std::string_view input) const {
  constexpr size_t kShortest = 2;
  if (input.size() < kShortest) return {};
  const uint8_t first = static_cast<uint8_t>(input[0]);
  const uint8_t second = static_cast<uint8_t>(input[1]);
  header parsed;
  parsed.opcode = first & kOpcode;
  parsed.final = (first & kFinal) != 0;
  parsed.length = second & kLengthBits;
  size_t extended = 0;
  if (parsed.length == kLength16) extended = sizeof(uint16_t);
  if (parsed.length == kLength64) extended = sizeof(uint64_t);
  const size_t size = kShortest + extended + kMaskBytes;
  if (input.size() < size) return {};
  if (extended > 0) {
    parsed.length = ParseBigEndian(input.substr(kShortest, extended));
  }
  parsed.size = size;
  return parsed;
}

bool websocket_reader::IsAllowed(const header& frame) const {
  if (frame.opcode >= kClose) {
    return frame.final && frame.length <= kMaxControlBytes &&
           frame.opcode <= kPong;
  }
  if (frame.opcode != (within_message_ ? kContinuation : kBinary)) return false;
  return frame.length <= max_message_bytes_ - message_.size();
}

websocket_reader::outcome websocket_reader::OnFrame(const header& frame,
                                                    std::string_view payload,
                                                    const handlers& to) {
  if (frame.opcode == kClose) return outcome::kClosed;
  if (frame.opcode == kPing && to.on_ping) to.on_ping(payload);
  if (frame.opcode >= kClose) return outcome::kOpen;
  within_message_ = !frame.final;
  if (!frame.final || !message_.empty()) message_.append(payload);
  if (!frame.final) return outcome::kOpen;
  const std::string message = std::move(message_);
  message_.clear();
  if (to.on_message) {
    to.on_message(message.empty() ? payload : std::string_view(message));
  }
  return outcome::kOpen;
}

websocket_reader::outcome websocket_reader::Read(
    std::string_view data, const handlers& to,
    const std::function<bool()>& wanted) {
  input_.append(data);
  size_t at = 0;
  outcome result = outcome::kOpen;
  while (result == outcome::kOpen && wanted()) {
    const std::string_view rest = std::string_view(input_).substr(at);
    // Frames of clients are masked, and no extension was agreed on.
    if ((!rest.empty() && (rest[0] & kReserved) != 0) ||
        (rest.size() > 1 && (rest[1] & kMasked) == 0)) {
      result = outcome::kMalformed;
      break;
    }
    const header frame = ParseHeader(rest);
    if (frame.size == 0) break;
    if (!IsAllowed(frame)) {
      result = outcome::kMalformed;
      break;
    }
    if (rest.size() - frame.size < frame.length) break;
    const std::string_view key =
        rest.substr(frame.size - kMaskBytes, kMaskBytes);
    Unmask(key, input_.data() + at + frame.size, frame.length);
    result = OnFrame(frame, rest.substr(frame.size, frame.length), to);
    at += frame.size + frame.length;
  }
  input_.erase(0, at);
  if (input_.capacity() > max_message_bytes_ / 8 && input_.empty()) {
    input_.shrink_to_fit();
  }
  return result;
}

}  // namespace wisteriadale::net
