#pragma once

#include "settings/settings_document.h"

namespace wisteriadale::settings {

extern const setting kListenCallers;
extern const setting kListenOperators;
extern const setting kListenGateways;
extern const setting kStoreEndpoint;
extern const setting kStoreTimeoutMs;
extern const setting kGatewaySeeds;
extern const setting kRoutesApplyMs;
extern const setting kTargetsLeaveMs;
extern const setting kTargetsHeartbeatMs;
extern const setting kRepeatRatio;
extern const setting kRepeatSlack;
extern const setting kRepeatWindowS;
extern const setting kStopGraceS;
extern const setting kCapacityCores;
extern const setting kCapacityLinkMbps;
extern const setting kStagesQueuePolicy;

/// @return the settings of wisteria-gateway
setting_table GatewaySettings();

}  // namespace wisteriadale::settings
