#include "settings/agent_settings.h"

#include <array>

namespace wisteriadale::settings {

const setting kTargetAddress = {
    "/target/address",          setting_type::kText, "\"127.0.0.1\"", 1, 64,
    "IP address of the target."};
const setting kTargetPort = {"/target/port", setting_type::kInteger, "", 1,
                             65535,          "Port of the target."};
const setting kPool = {"/target/pool",
                       setting_type::kText,
                       "",
                       1,
                       64,
                       "Pool that the target belongs to."};
const setting kConcurrencyLimit = {
    "/limits/concurrency",
    setting_type::kInteger,
    "16",
    1,
    4096,
    "Maximum number of concurrent attempts on the target."};
const setting kQueueLimit = {"/limits/queue",
                             setting_type::kInteger,
                             "64",
                             0,
                             65536,
                             "Maximum number of queued attempts."};
const setting kConcurrencyPolicy = {
    "/limits/concurrency_policy",
    setting_type::kText,
    "\"adaptive\"",
    1,
    32,
    "adaptive (to latency, up to the hard limit) or fixed."};
const setting kLatencyTolerance = {
    "/limits/latency_tolerance",
    setting_type::kNumber,
    "2.0",
    1.05,
    100,
    "Latency of the target, relative to its latency under low load, above "
    "which the adaptive limit decreases."};
const setting kQueuePolicy = {
    "/limits/queue_policy",
    setting_type::kText,
    "\"fair\"",
    1,
    32,
    "fair (shares by organisation, deadlines, deferrable work) or fifo."};
const setting kDeferrableQueueLimit = {
    "/limits/deferrable_queue",
    setting_type::kInteger,
    "8192",
    1,
    1048576,
    "Maximum number of queued deferrable attempts."};
const setting kRetentionMs = {"/limits/retention_ms",
                              setting_type::kInteger,
                              "60000",
                              100,
                              3600000,
                              "How long a finished attempt can be resumed."};
const setting kOrphanLimitMs = {
    "/limits/orphan_limit_ms",
    setting_type::kInteger,
    "5000",
    100,
    600000,
    "How long an idempotent attempt keeps running without its router."};

const setting kTargetChecksAuthority = {
    "/target/checks_authority",
    setting_type::kBoolean,
    "false",
    0,
    1,
    "The target itself checks who sends it an order."};

setting_table AgentSettings() {
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
                                    &kTargetAddress,
                                    &kTargetPort,
                                    &kTargetChecksAuthority,
                                    &kPool,
                                    &kConcurrencyLimit,
                                    &kQueueLimit,
                                    &kConcurrencyPolicy,
                                    &kLatencyTolerance,
                                    &kQueuePolicy,
                                    &kDeferrableQueueLimit,
                                    &kRetentionMs,
                                    &kOrphanLimitMs};
  return kTable;
}

}  // namespace wisteriadale::settings
