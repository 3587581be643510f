#pragma once

#include <memory>

#include "core/ports/object_store.h"
#include "core/ports/table.h"
#include "core/ports/vm_list.h"
#include "net/channel.h"
#include "net/event_loop.h"

/// Clients of the platform's services, over HTTP.
namespace wisteriadale::platform {

/// Where the platform listens, and the timeout of its calls.
struct platform_options {
  net::endpoint address;
  common::duration timeout = std::chrono::seconds(2);  ///< of one call
};

/// @return a client of the platform's table
std::unique_ptr<core::table> MakeHttpTable(net::event_loop& loop,
                                           const platform_options& options);
/// @return a client of the platform's object store
std::unique_ptr<core::object_store> MakeHttpObjectStore(
    net::event_loop& loop, const platform_options& options);
/// @return a client of the platform's list of VMs
std::unique_ptr<core::vm_list> MakeHttpVmList(net::event_loop& loop,
                                              const platform_options& options);

}  // namespace wisteriadale::platform
