#include "platform/platform_settings.h"

#include "settings/common_settings.h"

namespace wisteriadale::platform {

platform_options PlatformOptionsFrom(
    const settings::settings_document& settings) {
  platform_options options;
  options.address = {
      settings.Text(settings::kPlatformAddress),
      static_cast<uint16_t>(settings.Integer(settings::kPlatformPort))};
  options.timeout =
      common::milliseconds(settings.Integer(settings::kPlatformTimeoutMs));
  return options;
}

core::table_rate_limit TableRateLimitFrom(
    const settings::settings_document& settings) {
  core::table_rate_limit limit;
  limit.reads_per_second =
      static_cast<double>(settings.Integer(settings::kPlatformReadsPerSecond));
  limit.writes_per_second =
      static_cast<double>(settings.Integer(settings::kPlatformWritesPerSecond));
  return limit;
}

}  // namespace wisteriadale::platform
