#pragma once

#include <memory>

#include "core/ports/row_store.h"
#include "net/http1_client.h"

namespace wisteriadale::platform {

/// @param at      address of the platform's store
/// @param timeout of a call, in addition to the time it asks the store to wait
/// @return a client of the platform's store, over HTTP
std::unique_ptr<core::row_store> MakeHttpRowStore(net::event_loop& loop,
                                                  net::http1_client& client,
                                                  const net::endpoint& at,
                                                  common::duration timeout);

}  // namespace wisteriadale::platform
