#pragma once

#include "settings/common_settings.h"

namespace wisteriadale::settings {

extern const setting kTargetAddress;
extern const setting kTargetPort;
extern const setting kTargetChecksAuthority;
extern const setting kPool;
extern const setting kConcurrencyLimit;
extern const setting kQueueLimit;
extern const setting kConcurrencyPolicy;
extern const setting kLatencyTolerance;
extern const setting kQueuePolicy;
extern const setting kDeferrableQueueLimit;
extern const setting kRetentionMs;
extern const setting kOrphanLimitMs;

/// @return every setting of the agent
setting_table AgentSettings();

}  // namespace wisteriadale::settings
