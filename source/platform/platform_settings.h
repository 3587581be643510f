#pragma once

#include "core/operations/rate_limited_table.h"
#include "platform/http_platform.h"
#include "settings/settings_document.h"

namespace wisteriadale::platform {

/// @return where the platform is, from the settings of a process
platform_options PlatformOptionsFrom(
    const settings::settings_document& settings);

/// @return the process's budget of table calls, from its settings
core::table_rate_limit TableRateLimitFrom(
    const settings::settings_document& settings);

}  // namespace wisteriadale::platform
