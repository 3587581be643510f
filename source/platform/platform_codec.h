#pragma once

#include <memory>
#include <string>

#include "core/ports/deployment_codec.h"

/// Header names, formats and paths of the platform.
namespace wisteriadale::platform {

/// @return the codec of the platform's formats
std::unique_ptr<core::deployment_codec> MakePlatformCodec();

/// @return the path of the settings file that the platform sets in the
/// environment, or an empty string
std::string SettingsPathFromEnvironment();

}  // namespace wisteriadale::platform
