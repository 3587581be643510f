#pragma once

#include "settings/common_settings.h"

namespace wisteriadale::settings {

extern const setting kMaxBodyBytes;
extern const setting kMaxDeadlineMs;
extern const setting kReceiveTimeoutMs;
extern const setting kSendStallMs;
extern const setting kHttpCertificateFile;
extern const setting kHttpKeyFile;
extern const setting kMaxPendingBytes;
extern const setting kConfigurationPollMs;
extern const setting kVmListPollMs;
extern const setting kReconnectLimitMs;
extern const setting kStopGraceMs;
extern const setting kOperatorKeySha256;
extern const setting kPeerSeeds;

/// @return every setting of the router
setting_table RouterSettings();

}  // namespace wisteriadale::settings
