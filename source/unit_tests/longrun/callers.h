#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/pipeline/request_executor.h"
#include "unit_tests/fakes/virtual_time.h"
#include "unit_tests/longrun/ledger.h"
#include "unit_tests/longrun/router_node.h"

namespace wisteriadale::longrun {

/// What callers saw, by kind of answer.
struct caller_counts {
  uint64_t sent = 0;
  uint64_t whole = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  uint64_t done_not_whole = 0;
  uint64_t lost_with_router = 0;
};

/// Callers that send requests, resend keys to other routers and check every
/// answer against the ledger and against what their body must yield.
class callers {
 public:
  using router_list = std::vector<std::shared_ptr<router_node>>;

  callers(fakes::virtual_time& time, common::random_source& random,
          ledger& runs, router_list& routers);

  /// Sends a new request to a random router, now and then to two.
  void SendNew();
  /// The router died: its requests get no answer.
  void RouterDied(const router_node* router);
  /// Checks what must hold once everything has come to rest.
  void CheckAtRest() const;

  const caller_counts& counts() const { return counts_; }

 private:
  friend class checked_sink;

  /// One idempotency key or unkeyed request, over all its sends.
  struct order {
    std::string pipeline;
    std::string key;
    std::string body;
    uint32_t resends_left = 0;
    bool settled = false;
  };
  struct send {
    std::shared_ptr<order> of;
    std::string request_id;
    std::string row_key;  ///< empty when unkeyed
    std::string digest;
    common::time_point at;
    const router_node* router = nullptr;
    std::weak_ptr<core::request_executor> executor;
    std::string streamed;
    uint32_t ends = 0;
    bool body_differs = false;
  };

  void Send(const std::shared_ptr<order>& of, bool other_body);
  void ResendLater(const std::shared_ptr<order>& of);
  void OnEnd(const std::shared_ptr<send>& what,
             const core::request_result& result);
  void CheckWhole(const send& what, const core::request_result& result) const;

  fakes::virtual_time& time_;
  common::random_source& random_;
  ledger& ledger_;
  router_list& routers_;
  std::shared_ptr<core::configuration> configuration_;
  std::map<std::string, std::shared_ptr<send>> open_;
  caller_counts counts_;
  uint64_t next_order_ = 1;
};

}  // namespace wisteriadale::longrun
