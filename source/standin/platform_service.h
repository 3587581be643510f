#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standin/target_service.h"

namespace wisteriadale::standin {

/// Faults injected into the platform, set by tests over HTTP.
struct platform_faults {
  bool down = false;  ///< every connection is closed unanswered
  bool table_down = false;
  bool objects_down = false;
  bool vm_list_down = false;
  bool vm_list_empty = false;
  bool vm_list_frozen = false;   ///< changes of the list are discarded
  int64_t delay_ms = 0;          ///< before each request is served
  double lose_answer_share = 0;  ///< share of writes applied but not answered
  double late_write_share = 0;   ///< share of writes not answered, applied late
  int64_t late_write_ms = 1000;  ///< delay of the late writes
};

/// Configuration of the simulated platform.
struct platform_options {
  std::string address;
  uint16_t port = 0;
  int64_t vm_list_lag_ms = 0;  ///< until a change of the list is visible
};

/// Simulates the platform's table, object store, VM list and weight store over
/// HTTP, and serves the test control interface of the whole stand-in process.
///
///   GET, PUT /table/KEY     a row; a PUT is conditional on expected_version
///   GET  /table?prefix=     rows in order of their keys
///   POST /table-batch       conditional writes, with one status for each
///   GET, PUT /objects/NAME
///   GET  /vms
///   GET  /weights/MODEL     answers once the weights would have arrived
///   POST /control/vms       sets the VM list
///   POST /control/faults    replaces all platform_faults; with `targets`
///                           (a list of ids), `pool` or `data_centre`, the
///                           target_faults of these targets; `{}` clears all
///   GET  /control/counts, /control/ledger, /control/orders
class platform_service {
 public:
  /// @return the service, listening, or nothing with LastError set
  static std::optional<std::unique_ptr<platform_service>> Create(
      const target_dependencies& dependencies, const platform_options& options);

  /// Replaces the VM list at once, whatever the lag and the faults.
  /// @param vms_json JSON array
  void SetVms(const std::string& vms_json) { vms_json_ = vms_json; }
  /// Sets the targets to which /control/faults and /control/counts apply.
  void SetTargets(std::vector<target_service*> targets) {
    targets_ = std::move(targets);
  }

 private:
  struct row {
    std::string value;
    uint64_t version = 0;
  };
  struct write {
    std::string key;
    std::string value;
    uint64_t expected_version = 0;
  };

  platform_service(const target_dependencies& dependencies,
                   const platform_options& options)
      : dependencies_(dependencies), options_(options) {}

  void OnHttp(const net::http_request& request,
              const std::shared_ptr<net::http_responder>& responder);
  void Serve(const net::http_request& request,
             const std::shared_ptr<net::http_responder>& responder);
  void ServeControl(const net::http_request& request,
                    net::http_responder* responder);
  void ServeTable(const net::http_request& request,
                  const std::shared_ptr<net::http_responder>& responder);
  void ServeWrites(const net::http_request& request,
                   const std::shared_ptr<net::http_responder>& responder);
  /// Applies writes and answers, subject to the injected faults: the writes may
  /// be late, and the answer may be lost.
  void ApplyAndAnswer(std::function<void(net::http_responder*)> apply,
                      const std::shared_ptr<net::http_responder>& responder);
  /// Writes the row if it still has the expected version.
  /// @return whether the row was written
  bool ApplyWrite(const write& update);
  std::string RowText(const std::string& key) const;
  /// Sends rows by prefix, in pages: at most `limit` rows after key `after`.
  void ListRows(const net::http_request& request,
                net::http_responder* responder) const;
  void ServeObjects(const net::http_request& request,
                    net::http_responder* responder);
  void ServeVms(net::http_responder* responder) const;
  void ServeWeights(const std::shared_ptr<net::http_responder>& responder);
  /// Replaces the VM list after the configured lag, unless it is frozen.
  void ChangeVms(const std::string& vms_json);
  void SendLedger(net::http_responder* responder) const;
  void SendOrders(net::http_responder* responder) const;
  void SendCounts(net::http_responder* responder) const;
  void SetFaults(const net::http_request& request,
                 net::http_responder* responder);

  target_dependencies dependencies_;
  platform_options options_;
  platform_faults faults_;
  std::vector<target_service*> targets_;
  std::map<std::string, row> rows_;
  std::map<std::string, std::string> objects_;
  std::string vms_json_ = "[]";
  uint64_t reads_ = 0;
  uint64_t writes_ = 0;
  std::unique_ptr<net::http_server> server_;
};

}  // namespace wisteriadale::standin
