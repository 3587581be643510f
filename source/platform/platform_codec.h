#pragma once

#include <memory>
#include <string>

#include "core/ports/deployment_codec.h"

/// The platform's names, formats and calls.
namespace wisteriadale::platform {

/// @return the platform's formats
std::unique_ptr<core::deployment_codec> MakePlatformCodec();

/// @return the settings file that the platform names, or an empty text
std::string SettingsPathFromEnvironment();

}  // namespace wisteriadale::platform
