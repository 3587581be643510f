#include "settings/gateway_settings.h"

#include <array>

#include "settings/common_settings.h"

namespace wisteriadale::settings {
namespace {

constexpr double kMaxEndpoint = 64;

}  // namespace

const setting kListenCallers = {
    "/listen/callers", setting_type::kText,
    "\"127.0.0.1:0\"", 3,
    kMaxEndpoint,      "Where callers connect, as ip:port."};
const setting kListenOperators = {
    "/listen/operators", setting_type::kText,
    "\"127.0.0.1:0\"",   3,
    kMaxEndpoint,        "Where readiness and metrics are served, as ip:port."};
const setting kListenGateways = {
    "/listen/gateways", setting_type::kText,
    "\"127.0.0.1:0\"",  3,
    kMaxEndpoint,       "Where other gateways connect, as ip:port."};
const setting kStoreEndpoint = {"/store/endpoint",
                                setting_type::kText,
                                "",
                                3,
                                kMaxEndpoint,
                                "The platform's store, as ip:port."};
const setting kStoreTimeoutMs = {
    "/store/timeout_ms",
    setting_type::kInteger,
    "800",
    10,
    60000,
    "Timeout of a call to the store, in milliseconds, on top of the wait that "
    "the call asks for."};
const setting kGatewaySeeds = {"/gateways/seeds",
                               setting_type::kList,
                               "[]",
                               0,
                               64,
                               "Gateways to connect to first, as \"ip:port\"."};
const setting kRoutesApplyMs = {
    "/routes/apply_ms",
    setting_type::kInteger,
    "2000",
    100,
    600000,
    "Time within which newer routes must take effect, in milliseconds."};
const setting kTargetsLeaveMs = {
    "/targets/leave_ms",
    setting_type::kInteger,
    "2000",
    100,
    600000,
    "Time within which a leaving target must stop getting work, in "
    "milliseconds."};
const setting kTargetsHeartbeatMs = {
    "/targets/heartbeat_ms",
    setting_type::kInteger,
    "1200",
    10,
    600000,
    "Interval at which targets write their entries, in milliseconds."};
const setting kRepeatRatio = {
    "/repeats/ratio",
    setting_type::kNumber,
    "0.2",
    0,
    10,
    "Retries per request of a service, over all gateways."};
const setting kRepeatSlack = {
    "/repeats/slack",
    setting_type::kNumber,
    "50",
    0,
    1000000,
    "Additional retries at a service per window, over all gateways."};
const setting kRepeatWindowS = {
    "/repeats/window_s",
    setting_type::kNumber,
    "10",
    0.1,
    3600,
    "Length of a window of the retry budget, in seconds."};
const setting kStopGraceS = {
    "/stop/grace_s",
    setting_type::kNumber,
    "8",
    1,
    600,
    "Time from the signal that stops the process to the one that kills it, in "
    "seconds."};
const setting kCapacityCores = {
    "/capacity/cores",
    setting_type::kNumber,
    "1",
    0.001,
    1024,
    "CPU that this VM gives the process, in cores; larger VMs own the stage "
    "queues."};
const setting kCapacityLinkMbps = {"/capacity/link_mbps",
                                   setting_type::kNumber,
                                   "1000",
                                   0.1,
                                   1000000,
                                   "Bandwidth of this VM's link, in Mbit/s."};
const setting kStagesQueuePolicy = {
    "/stages/queue_policy",
    setting_type::kText,
    "\"last_moment\"",
    1,
    32,
    "Which work for stages is delayed or turned away when not all can be done "
    "in time: last_moment (what can no longer be) or least_cost (as little as "
    "possible, the least urgent first)."};

setting_table GatewaySettings() {
  static const std::array kTable = {&kName,
                                    &kDataCentre,
                                    &kListenCallers,
                                    &kListenOperators,
                                    &kListenGateways,
                                    &kStoreEndpoint,
                                    &kStoreTimeoutMs,
                                    &kGatewaySeeds,
                                    &kRoutesApplyMs,
                                    &kTargetsLeaveMs,
                                    &kTargetsHeartbeatMs,
                                    &kRepeatRatio,
                                    &kRepeatSlack,
                                    &kRepeatWindowS,
                                    &kStopGraceS,
                                    &kMaxConnections,
                                    &kReservedDescriptors,
                                    &kCapacityCores,
                                    &kCapacityLinkMbps,
                                    &kCapacityMemoryMb,
                                    &kStagesQueuePolicy,
                                    &kDialTimeoutMs,
                                    &kLogLevel,
                                    &kLogJson,
                                    &kLogFile,
                                    &kRandomSeed,
                                    &kInvariantsFatal};
  return kTable;
}

}  // namespace wisteriadale::settings
