#include "settings/standin_settings.h"

#include <array>

namespace wisteriadale::settings {

const setting kStandinTargets = {
    "/targets", setting_type::kList,
    "[]",       0,
    0,          "Targets to simulate: id, kind, port and their parameters."};
const setting kStandinVms = {"/vms", setting_type::kList, "[]", 0,
                             0,      "Initial VM list."};
const setting kVmListLagMs = {"/vm_list_lag_ms",
                              setting_type::kInteger,
                              "0",
                              0,
                              600000,
                              "Age of the VM list that is served."};
const setting kWeightBytes = {"/weights/bytes",
                              setting_type::kNumber,
                              "20000000",
                              1,
                              1e15,
                              "Size of the weights of each model."};
const setting kWeightBytesPerSecond = {
    "/weights/bytes_per_second",
    setting_type::kNumber,
    "100000000",
    1,
    1e15,
    "Bandwidth of the weight store, shared by all targets."};

setting_table StandinSettings() {
  static const std::array kTable = {&kName,
                                    &kDataCentre,
                                    &kListenAddress,
                                    &kListenPort,
                                    &kLogLevel,
                                    &kLogJson,
                                    &kLogFile,
                                    &kTraceFile,
                                    &kRandomSeed,
                                    &kInvariantsFatal,
                                    &kStandinTargets,
                                    &kStandinVms,
                                    &kVmListLagMs,
                                    &kWeightBytes,
                                    &kWeightBytesPerSecond};
  return kTable;
}

}  // namespace wisteriadale::settings
