#include "gateway/forward_headers.h"

#include <algorithm>
#include <array>

namespace wisteriadale::gateway {
namespace {

constexpr std::array<std::string_view, 9> kHopByHopHeaders = {
    "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "TE",
    "Trailer",    "Upgrade",    "Proxy-Connection",  "Expect"};

bool Contains(const auto& names, std::string_view name) {
  return std::any_of(
      names.begin(), names.end(),
      [name](std::string_view listed) { return net::SameName(listed, name); });
}

std::vector<std::string_view> ValuesOf(const net::message_head& head,
                                       std::string_view name) {
  std::vector<std::string_view> values;
  for (const net::http_header& header : head.headers) {
    if (net::SameName(header.name, name)) values.push_back(header.value);
  }
  return values;
}

}  // namespace

bool IsHopByHopHeader(std::string_view name, const net::message_head& head) {
  if (Contains(kHopByHopHeaders, name)) return true;
  const std::string* listed = head.Find("Connection");
  return listed != nullptr && Contains(SplitCommaList(*listed), name);
}

std::vector<net::http_header> EndToEndHeaders(const net::message_head& head) {
  std::vector<net::http_header> headers;
  headers.reserve(head.headers.size());
  for (const net::http_header& header : head.headers) {
    if (!IsHopByHopHeader(header.name, head)) headers.push_back(header);
  }
  return headers;
}

std::vector<std::string_view> SplitCommaList(std::string_view text) {
  std::vector<std::string_view> parts;
  while (!text.empty()) {
    const size_t comma = std::min(text.find(','), text.size());
    std::string_view part = text.substr(0, comma);
    while (part.starts_with(' ')) part.remove_prefix(1);
    while (part.ends_with(' ')) part.remove_suffix(1);
    parts.push_back(part);
    text.remove_prefix(std::min(text.size(), comma + 1));
  }
  return parts;
}

core::request_limit RequestLimitOf(const net::message_head& head,
                                   std::string_view name) {
  return core::ParseRequestLimit(ValuesOf(head, name));
}

core::target_statement StatementOf(const net::message_head& head,
                                   const core::deployment_codec& codec) {
  core::target_statement statement;
  const core::header_names& names = codec.headers();
  core::ParseLeaving(ValuesOf(head, names.leaving), &statement);
  if (codec.IndicatesBackOff(head.status)) {
    core::ParseBackOff(ValuesOf(head, names.back_off), &statement);
  }
  return statement;
}

std::string_view PathWithoutQuery(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string_view HostWithoutPort(std::string_view host) {
  const size_t colon = host.rfind(':');
  return colon == std::string_view::npos ? host : host.substr(0, colon);
}

bool IsEventStream(const net::message_head& head) {
  const std::string* type = head.Find("Content-Type");
  return type != nullptr &&
         net::SameName(std::string_view(*type).substr(0, type->find(';')),
                       "text/event-stream");
}

}  // namespace wisteriadale::gateway
