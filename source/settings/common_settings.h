#pragma once

#include "common/process_usage.h"
#include "settings/settings_document.h"

namespace wisteriadale::settings {

// Settings that routers and agents share.
extern const setting kName;
extern const setting kDataCentre;
extern const setting kListenAddress;
extern const setting kListenPort;
extern const setting kPlatformAddress;
extern const setting kPlatformPort;
extern const setting kPlatformTimeoutMs;
extern const setting kPlatformReadsPerSecond;
extern const setting kPlatformWritesPerSecond;
extern const setting kDialTimeoutMs;
extern const setting kTlsCertificateFile;
extern const setting kTlsKeyFile;
extern const setting kTlsCaFile;
extern const setting kLogLevel;
extern const setting kLogJson;
extern const setting kLogFile;
extern const setting kTraceFile;
extern const setting kRandomSeed;
extern const setting kInvariantsFatal;
extern const setting kMaxConnections;
extern const setting kReservedDescriptors;
extern const setting kCapacityMemoryMb;

/// @return what the settings and the operating system give this process
common::process_resources ResourcesOf(const settings_document& settings);

}  // namespace wisteriadale::settings
