#pragma once

#include "core/ports/deployment_codec.h"
#include "core/routes/route_table.h"
#include "net/http1_parser.h"

namespace wisteriadale::gateway {

// What the head of a request alone decides.

/// @return the route of a request, or null if there is none
const core::route* FindRoute(const core::route_table& table,
                             const net::message_head& head);

/// @return whether callers of a route need a key
bool NeedsKey(const core::route_table& table, const core::route& route);

/// @return the organisation whose key a request carries, or null
const core::organisation_spec* FindOrganisation(const core::route_table& table,
                                                const core::header_names& names,
                                                const net::message_head& head);

/// @param table the routes in force; may be null
/// @return whether a request is refused whatever its body is
bool IsRefusedByHead(const core::route_table* table,
                     const core::header_names& names,
                     const net::message_head& head);

}  // namespace wisteriadale::gateway
