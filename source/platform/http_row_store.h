#pragma once

#include <memory>

#include "core/ports/row_store.h"
#include "net/http1_client.h"

namespace wisteriadale::platform {

/// @param at      where the platform's store listens
/// @param timeout longest time of a call, besides what it asks to wait
/// @return the platform's store
std::unique_ptr<core::row_store> MakeHttpRowStore(net::event_loop& loop,
                                                  net::http1_client& client,
                                                  const net::endpoint& at,
                                                  common::duration timeout);

}  // namespace wisteriadale::platform
