#include "settings/common_settings.h"

namespace wisteriadale::settings {
namespace {

constexpr double kMaxName = 64;
constexpr double kMaxPort = 65535;
constexpr double kMaxPath = 4096;

}  // namespace

const setting kName = {
    "/name",  setting_type::kText,
    "",       1,
    kMaxName, "Name of the process, unique in the deployment."};
const setting kDataCentre = {
    "/data_centre", setting_type::kText,
    "\"a\"",        1,
    kMaxName,       "Data centre that the process runs in."};
const setting kListenAddress = {"/listen/address", setting_type::kText,
                                "\"127.0.0.1\"",   1,
                                kMaxName,          "IP address to listen on."};
const setting kListenPort = {"/listen/port",
                             setting_type::kInteger,
                             "0",
                             0,
                             kMaxPort,
                             "Port to listen on; 0 picks a free one."};
const setting kPlatformAddress = {"/platform/address",
                                  setting_type::kText,
                                  "\"127.0.0.1\"",
                                  1,
                                  kMaxName,
                                  "IP address of the platform's services."};
const setting kPlatformPort = {"/platform/port",
                               setting_type::kInteger,
                               "0",
                               0,
                               kMaxPort,
                               "Port of the platform's services."};
const setting kPlatformTimeoutMs = {
    "/platform/timeout_ms",
    setting_type::kInteger,
    "2000",
    10,
    60000,
    "Timeout of a call to the platform, in milliseconds."};
const setting kPlatformReadsPerSecond = {
    "/platform/reads_per_second",
    setting_type::kInteger,
    "300",
    1,
    100000,
    "Maximum table reads per second by this process."};
const setting kPlatformWritesPerSecond = {
    "/platform/writes_per_second",
    setting_type::kInteger,
    "100",
    1,
    100000,
    "Maximum table writes per second by this process."};
const setting kDialTimeoutMs = {
    "/net/dial_timeout_ms",
    setting_type::kInteger,
    "1000",
    10,
    60000,
    "Timeout for opening a channel between processes."};
const setting kTlsCertificateFile = {
    "/tls/certificate_file",
    setting_type::kText,
    "\"\"",
    0,
    kMaxPath,
    "Certificate presented to other processes (PEM); empty means plain TCP."};
const setting kTlsKeyFile = {
    "/tls/key_file", setting_type::kText,
    "\"\"",          0,
    kMaxPath,        "Private key of /tls/certificate_file."};
const setting kTlsCaFile = {
    "/tls/ca_file",
    setting_type::kText,
    "\"\"",
    0,
    kMaxPath,
    "Authority that signed the certificates of other processes; a peer "
    "without one is refused."};
const setting kLogLevel = {
    "/log/level",
    setting_type::kText,
    "\"info\"",
    4,
    7,
    "Lowest level written: debug, info, warning, error."};
const setting kLogJson = {
    "/log/json",
    setting_type::kBoolean,
    "true",
    0,
    1,
    "Write one JSON object per line, events too; otherwise plain lines."};
const setting kLogFile = {"/log/file",
                          setting_type::kText,
                          "\"\"",
                          0,
                          kMaxPath,
                          "Log file; empty means standard output, "
                          "or standard error for plain lines."};
const setting kTraceFile = {
    "/trace/file", setting_type::kText,
    "\"\"",        0,
    kMaxPath,      "File for spans as OTLP JSON; empty disables it."};
const setting kRandomSeed = {
    "/random_seed",
    setting_type::kInteger,
    "0",
    0,
    9007199254740991.0,
    "Random seed of the process; 0 takes one from the operating system."};
const setting kInvariantsFatal = {
    "/invariants_fatal",
    setting_type::kBoolean,
    "false",
    0,
    1,
    "Abort when an invariant does not hold (for tests)."};

const setting kMaxConnections = {
    "/net/max_connections",
    setting_type::kInteger,
    "4096",
    64,
    1000000,
    "Maximum number of open descriptors of the process."};
const setting kReservedDescriptors = {
    "/net/reserved_descriptors",
    setting_type::kInteger,
    "200",
    0,
    1000000,
    "Part of /net/max_connections that is for files, not for connections; at "
    "least 32 must be left."};
const setting kCapacityMemoryMb = {
    "/capacity/memory_mb",
    setting_type::kNumber,
    "256",
    64,
    1000000,
    "Memory that this VM gives the process, in MB; bounds the bytes that it "
    "holds for callers and targets."};

common::process_resources ResourcesOf(const settings_document& settings) {
  return {settings.Number(kCapacityMemoryMb),
          settings.Integer(kMaxConnections) -
              settings.Integer(kReservedDescriptors),
          common::ReadProcessUsage().descriptor_limit};
}

}  // namespace wisteriadale::settings
