#pragma once

#include <memory>

#include "core/ports/object_store.h"
#include "core/ports/table.h"
#include "core/ports/vm_list.h"
#include "net/channel.h"
#include "net/event_loop.h"

/// The platform's services, reached over HTTP.
namespace wisteriadale::platform {

/// Where the platform is and how long an answer may take.
struct platform_options {
  net::endpoint address;
  common::duration timeout = std::chrono::seconds(2);
};

std::unique_ptr<core::table> MakeHttpTable(net::event_loop& loop,
                                           const platform_options& options);
std::unique_ptr<core::object_store> MakeHttpObjectStore(
    net::event_loop& loop, const platform_options& options);
std::unique_ptr<core::vm_list> MakeHttpVmList(net::event_loop& loop,
                                              const platform_options& options);

}  // namespace wisteriadale::platform
