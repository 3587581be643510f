#include "settings/router_settings.h"

#include <array>

namespace wisteriadale::settings {

const setting kMaxBodyBytes = {"/http/max_body_bytes",
                               setting_type::kInteger,
                               "1048576",
                               1024,
                               67108864,
                               "Maximum size of a caller's request body."};
const setting kMaxDeadlineMs = {"/http/max_deadline_ms",
                                setting_type::kInteger,
                                "600000",
                                100,
                                3600000,
                                "Maximum deadline a caller may ask for."};
const setting kReceiveTimeoutMs = {
    "/http/receive_timeout_ms",
    setting_type::kInteger,
    "10000",
    50,
    600000,
    "Maximum time from a request's headers to the end of its body."};
const setting kHttpCertificateFile = {
    "/http/certificate_file",
    setting_type::kText,
    "\"\"",
    0,
    4096,
    "Certificate presented to callers (PEM); empty means plain HTTP."};
const setting kHttpKeyFile = {"/http/key_file",
                              setting_type::kText,
                              "\"\"",
                              0,
                              4096,
                              "Private key of /http/certificate_file."};
const setting kSendStallMs = {
    "/http/send_stall_ms",
    setting_type::kInteger,
    "10000",
    50,
    600000,
    "An answer is aborted when its caller takes no byte for this long."};
const setting kMaxPendingBytes = {"/http/max_pending_bytes",
                                  setting_type::kInteger,
                                  "4194304",
                                  65536,
                                  1073741824,
                                  "Maximum bytes of a stream buffered for its "
                                  "caller; beyond it the answer is "
                                  "aborted."};
const setting kConfigurationPollMs = {
    "/configuration/poll_ms",
    setting_type::kInteger,
    "500",
    50,
    60000,
    "Time between reads of the configuration's head row."};
const setting kVmListPollMs = {"/vm_list/poll_ms",
                               setting_type::kInteger,
                               "1000",
                               50,
                               60000,
                               "Time between reads of the VM list."};
const setting kReconnectLimitMs = {
    "/agents/reconnect_limit_ms",
    setting_type::kInteger,
    "2000",
    10,
    60000,
    "How long an attempt waits for a new connection to its agent."};
const setting kStopGraceMs = {
    "/stop/grace_ms",
    setting_type::kInteger,
    "1000",
    0,
    600000,
    "Time between reporting not ready and taking no new work."};
const setting kOperatorKeySha256 = {
    "/operators/key_sha256",
    setting_type::kText,
    "\"\"",
    0,
    64,
    "SHA-256 of the operators' key; empty admits operators without one."};

const setting kPeerSeeds = {
    "/peers/seeds",
    setting_type::kList,
    "[]",
    0,
    64,
    "Routers to dial, as \"address:port\", when the VM list is unavailable."};

setting_table RouterSettings() {
  static const std::array kTable = {&kName,
                                    &kDataCentre,
                                    &kListenAddress,
                                    &kListenPort,
                                    &kPlatformAddress,
                                    &kPlatformPort,
                                    &kPlatformTimeoutMs,
                                    &kTlsCertificateFile,
                                    &kTlsKeyFile,
                                    &kTlsCaFile,
                                    &kPlatformReadsPerSecond,
                                    &kPlatformWritesPerSecond,
                                    &kLogLevel,
                                    &kLogJson,
                                    &kLogFile,
                                    &kTraceFile,
                                    &kRandomSeed,
                                    &kInvariantsFatal,
                                    &kMaxConnections,
                                    &kReservedDescriptors,
                                    &kCapacityMemoryMb,
                                    &kMaxBodyBytes,
                                    &kMaxDeadlineMs,
                                    &kReceiveTimeoutMs,
                                    &kSendStallMs,
                                    &kHttpCertificateFile,
                                    &kHttpKeyFile,
                                    &kMaxPendingBytes,
                                    &kDialTimeoutMs,
                                    &kConfigurationPollMs,
                                    &kVmListPollMs,
                                    &kReconnectLimitMs,
                                    &kStopGraceMs,
                                    &kOperatorKeySha256,
                                    &kPeerSeeds};
  return kTable;
}

}  // namespace wisteriadale::settings
