#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "net/http_server.h"
#include "standin/target_service.h"

namespace wisteriadale::standin {

/// Faults of the platform, set by tests over HTTP.
struct platform_faults {
  bool table_down = false;
  bool objects_down = false;
  bool vm_list_down = false;
  int64_t delay_ms = 0;
  double lose_answer_share = 0;  ///< writes that take effect unanswered
};

/// Plays the platform's table, object store and VM list over HTTP, and shows
/// the ledger of operations.
class platform_service {
 public:
  static std::optional<std::unique_ptr<platform_service>> Create(
      net::event_loop& loop, const std::string& address, uint16_t port,
      common::random_source& random, ledger& operations);

  /// Sets the VM list from JSON text.
  void SetVms(const std::string& vms_json) { vms_json_ = vms_json; }

 private:
  struct row {
    std::string value;
    uint64_t version = 0;
  };

  platform_service(net::event_loop& loop, common::random_source& random,
                   ledger& operations)
      : loop_(loop), random_(random), operations_(operations) {}

  void OnHttp(const net::http_request& request,
              const std::shared_ptr<net::http_responder>& responder);
  void Serve(const net::http_request& request,
             const std::shared_ptr<net::http_responder>& responder);
  void ServeTable(const net::http_request& request,
                  const std::shared_ptr<net::http_responder>& responder);
  void WriteRow(const std::string& key, const net::http_request& request,
                const std::shared_ptr<net::http_responder>& responder);
  void ListRows(const net::http_request& request,
                net::http_responder* responder) const;
  void ServeObjects(const net::http_request& request,
                    net::http_responder* responder);
  void ServeLedger(net::http_responder* responder) const;
  void SetFaults(const net::http_request& request,
                 net::http_responder* responder);

  net::event_loop& loop_;
  common::random_source& random_;
  ledger& operations_;
  platform_faults faults_;
  std::map<std::string, row> rows_;
  std::map<std::string, std::string> objects_;
  std::string vms_json_ = "[]";
  uint64_t reads_ = 0;
  uint64_t writes_ = 0;
  std::unique_ptr<net::http_server> server_;
};

}  // namespace wisteriadale::standin
