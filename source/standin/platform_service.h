#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standin/target_service.h"

namespace wisteriadale::standin {

/// Faults of the platform, set by tests over HTTP.
struct platform_faults {
  bool down = false;  ///< nothing answers
  bool table_down = false;
  bool objects_down = false;
  bool vm_list_down = false;
  bool vm_list_empty = false;
  bool vm_list_frozen = false;   ///< changes of the list are not shown
  int64_t delay_ms = 0;          ///< before each answer
  double lose_answer_share = 0;  ///< writes that take effect unanswered
  double late_write_share = 0;   ///< unanswered writes that take effect later
  int64_t late_write_ms = 1000;
};

/// Figures of the platform.
struct platform_options {
  std::string address;
  uint16_t port = 0;
  int64_t vm_list_lag_ms = 0;  ///< until a change of the list is shown
};

/// Plays the platform's table, object store, VM list and weight store over
/// HTTP, and takes what tests ask of the whole stand-in.
///
///   GET, PUT /table/KEY     a row; a PUT is conditional on expected_version
///   GET  /table?prefix=     rows in order of their keys
///   POST /table-batch       conditional writes, each answered by itself
///   GET, PUT /objects/NAME
///   GET  /vms
///   GET  /weights/MODEL     ends when the weights would have arrived
///   POST /control/vms       sets the VM list
///   POST /control/faults    platform_faults, replacing all; with `targets`
///                           (a list of ids), `pool` or `data_centre`:
///                           target_faults of these targets; `{}` ends all
///   GET  /control/counts, /control/ledger, /control/orders
class platform_service {
 public:
  static std::optional<std::unique_ptr<platform_service>> Create(
      const target_surroundings& around, const platform_options& options);

  /// Sets the VM list from JSON text, at once.
  void SetVms(const std::string& vms_json) { vms_json_ = vms_json; }
  /// Names the targets that faults and counts are about.
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

  platform_service(const target_surroundings& around,
                   const platform_options& options)
      : around_(around), options_(options) {}

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
  /// Applies the writes now or late, and answers or loses the answer.
  void Perform(std::function<void(net::http_responder*)> apply,
               const std::shared_ptr<net::http_responder>& responder);
  /// @return whether the write took place; the row is then the new one
  bool Apply(const write& wanted);
  std::string RowText(const std::string& key) const;
  void ListRows(const net::http_request& request,
                net::http_responder* responder) const;
  void ServeObjects(const net::http_request& request,
                    net::http_responder* responder);
  void ServeVms(net::http_responder* responder) const;
  void ServeWeights(const std::shared_ptr<net::http_responder>& responder);
  void ChangeVms(const std::string& vms_json);
  void SendLedger(net::http_responder* responder) const;
  void SendOrders(net::http_responder* responder) const;
  void SendCounts(net::http_responder* responder) const;
  void SetFaults(const net::http_request& request,
                 net::http_responder* responder);

  target_surroundings around_;
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
