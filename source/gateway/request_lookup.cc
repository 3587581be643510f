#include "gateway/request_lookup.h"

#include <string>

#include "gateway/forward_headers.h"

namespace wisteriadale::gateway {

const core::route* FindRoute(const core::route_table& table,
                             const net::message_head& head) {
  const std::string* host = head.Find("Host");
  const std::string_view name = host == nullptr ? "" : HostWithoutPort(*host);
  return table.Find(name, PathWithoutQuery(head.target));
}

bool NeedsKey(const core::route_table& table, const core::route& route) {
  return !route.is_public && table.needs_keys();
}

const core::organisation_spec* FindOrganisation(const core::route_table& table,
                                                const core::header_names& names,
                                                const net::message_head& head) {
  const std::string* key = head.Find(names.key);
  if (key == nullptr || head.Count(names.key) != 1) return nullptr;
  return table.FindKey(*key);
}

bool IsRefusedByHead(const core::route_table* table,
                     const core::header_names& names,
                     const net::message_head& head) {
  if (table == nullptr) return true;
  const core::route* route = FindRoute(*table, head);
  if (route == nullptr) return true;
  return NeedsKey(*table, *route) &&
         FindOrganisation(*table, names, head) == nullptr;
}

}  // namespace wisteriadale::gateway
