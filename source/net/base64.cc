#include "net/base64.h"

#include <libwebsockets.h>

#include <algorithm>

namespace wisteriadale::net {

std::string EncodeBase64(std::string_view bytes) {
  // Four characters for each three bytes, plus the terminating null.
  std::string out((bytes.size() + 2) / 3 * 4 + 2, '\0');
  const int length =
      lws_b64_encode_string(bytes.data(), static_cast<int>(bytes.size()),
                            out.data(), static_cast<int>(out.size()));
  out.resize(static_cast<size_t>(std::max(length, 0)));
  return out;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  std::string out(text.size() + 4, '\0');
  const int length =
      lws_b64_decode_string_len(text.data(), static_cast<int>(text.size()),
                                out.data(), static_cast<int>(out.size()));
  if (length < 0) return std::nullopt;
  out.resize(static_cast<size_t>(length));
  return out;
}

}  // namespace wisteriadale::net
