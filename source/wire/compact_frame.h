#pragma once

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "common/last_error.h"

namespace wisteriadale::wire {

/// Encodes a generated structure in Thrift's compact protocol.
template <typename frame>
std::string EncodeCompact(const frame& source) {
  using apache::thrift::transport::TMemoryBuffer;
  const std::shared_ptr<TMemoryBuffer> buffer =
      std::make_shared<TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  source.write(&protocol);
  return buffer->getBufferAsString();
}

/// Decodes a generated structure from Thrift's compact protocol.
/// @param max_entries largest accepted number of entries of a list or map
/// @return the structure, or nothing with LastError set to kBadFrame
template <typename frame>
std::optional<frame> DecodeCompact(std::string_view bytes,
                                   int32_t max_entries) {
  using apache::thrift::transport::TMemoryBuffer;
  frame parsed;
  // Thrift throws on malformed input; no exception leaves this function.
  try {
    const std::shared_ptr<TMemoryBuffer> buffer =
        std::make_shared<TMemoryBuffer>(
            reinterpret_cast<uint8_t*>(const_cast<char*>(bytes.data())),
            static_cast<uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE);
    // A malformed frame may declare sizes far beyond its own length. The limits
    // keep Thrift from allocating memory for them.
    apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(
        buffer, static_cast<int32_t>(bytes.size()), max_entries);
    parsed.read(&protocol);
  } catch (const std::exception& error) {
    common::SetLastError(common::result_code::kBadFrame, error.what());
    return std::nullopt;
  }
  return parsed;
}

}  // namespace wisteriadale::wire
