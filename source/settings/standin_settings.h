#pragma once

#include "settings/common_settings.h"

namespace wisteriadale::settings {

extern const setting kStandinTargets;
extern const setting kStandinVms;
extern const setting kVmListLagMs;
extern const setting kWeightBytes;
extern const setting kWeightBytesPerSecond;

/// @return every setting of the stand-in
setting_table StandinSettings();

}  // namespace wisteriadale::settings
