#include "common/trace.h"

#include <nlohmann/json.hpp>

namespace wisteriadale::common {
namespace {

constexpr size_t kTraceIdDigits = 32;
constexpr size_t kSpanIdDigits = 16;
constexpr size_t kHeaderLength = 55;

bool IsLowerHex(std::string_view text) {
  return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool IsZero(std::string_view text) {
  return text.find_first_not_of('0') == std::string_view::npos;
}

span_sink& Sink() {
  static span_sink sink;
  return sink;
}

nlohmann::json ToJson(const span_record& span) {
  nlohmann::json attributes = nlohmann::json::array();
  for (const span_attribute& attribute : span.attributes) {
    attributes.push_back({{"key", attribute.name},
                          {"value", {{"stringValue", attribute.value}}}});
  }
  constexpr int64_t kNanosPerMicro = 1000;
  constexpr int kStatusOk = 1;
  constexpr int kStatusError = 2;
  return {{"traceId", span.context.trace_id},
          {"spanId", span.context.span_id},
          {"parentSpanId", span.context.parent_id},
          {"name", span.name},
          {"startTimeUnixNano", std::to_string(span.start_us * kNanosPerMicro)},
          {"endTimeUnixNano", std::to_string(span.end_us * kNanosPerMicro)},
          {"attributes", attributes},
          {"status", {{"code", span.ok ? kStatusOk : kStatusError}}}};
}

}  // namespace

std::string trace_context::Header() const {
  return "00-" + trace_id + "-" + span_id + "-01";
}

std::optional<trace_context> ParseTraceparent(std::string_view header) {
  if (header.size() < kHeaderLength) return std::nullopt;
  if (header.substr(0, 3) != "00-") return std::nullopt;
  const std::string_view trace_id = header.substr(3, kTraceIdDigits);
  const std::string_view span_id = header.substr(36, kSpanIdDigits);
  if (header[35] != '-' || header[52] != '-') return std::nullopt;
  if (!IsLowerHex(trace_id) || IsZero(trace_id)) return std::nullopt;
  if (!IsLowerHex(span_id) || IsZero(span_id)) return std::nullopt;
  trace_context context;
  context.trace_id = trace_id;
  context.span_id = span_id;
  return context;
}

trace_context ChildOf(const trace_context& parent, random_source& random) {
  trace_context child;
  child.trace_id = parent.trace_id.empty() ? random.HexId() : parent.trace_id;
  child.span_id = random.HexId().substr(0, kSpanIdDigits);
  child.parent_id = parent.span_id;
  return child;
}

void SetSpanSink(span_sink sink) { Sink() = std::move(sink); }

void EmitSpan(const span_record& span) {
  if (Sink()) Sink()(span);
}

std::string OtlpJson(std::string_view service,
                     const std::vector<span_record>& spans) {
  nlohmann::json list = nlohmann::json::array();
  for (const span_record& span : spans) list.push_back(ToJson(span));
  const nlohmann::json resource = {
      {"attributes",
       {{{"key", "service.name"}, {"value", {{"stringValue", service}}}}}}};
  const nlohmann::json scope = {{"scope", {{"name", "wisteriadale"}}},
                                {"spans", list}};
  const nlohmann::json document = {
      {"resourceSpans", {{{"resource", resource}, {"scopeSpans", {scope}}}}}};
  return document.dump();
}

}  // namespace wisteriadale::common
