#pragma once

#include "core/operations/rate_limited_table.h"
#include "platform/http_platform.h"
#include "settings/settings_document.h"

namespace wisteriadale::platform {

/// @return address and timeout of the platform, from a process's settings
platform_options PlatformOptionsFrom(
    const settings::settings_document& settings);

/// @return the rate limit of a process's table calls, from its settings
core::table_rate_limit TableRateLimitFrom(
    const settings::settings_document& settings);

}  // namespace wisteriadale::platform
