#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/random.h"

namespace wisteriadale::common {

/// W3C trace context of one hop.
struct trace_context {
  std::string trace_id;   ///< 32 hexadecimal digits
  std::string span_id;    ///< 16 hexadecimal digits
  std::string parent_id;  ///< span id of the caller, or empty

  /// @return the value of a `traceparent` header
  std::string Header() const;
};

/// Parses a `traceparent` header.
/// @return the caller's context, or nothing when it is not valid
std::optional<trace_context> ParseTraceparent(std::string_view header);

/// @return a child of the parent's context; a new trace when it is empty
trace_context ChildOf(const trace_context& parent, random_source& random);

/// A name and value attached to a span.
struct span_attribute {
  std::string name;
  std::string value;
};

/// A finished span.
struct span_record {
  trace_context context;
  std::string name;
  int64_t start_us = 0;  ///< microseconds since the Unix epoch
  int64_t end_us = 0;
  bool ok = true;
  std::vector<span_attribute> attributes;
};

/// Receives finished spans; a process sets one sink (file or collector).
using span_sink = std::function<void(const span_record&)>;

/// Sets where this process's spans go; none by default.
void SetSpanSink(span_sink sink);

/// Passes a finished span to the sink.
void EmitSpan(const span_record& span);

/// @return spans as one OTLP JSON document for a service
std::string OtlpJson(std::string_view service,
                     const std::vector<span_record>& spans);

}  // namespace wisteriadale::common
