#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/pipeline/request_executor.h"
#include "unit_tests/fakes/virtual_time.h"
#include "unit_tests/longrun/execution_log.h"
#include "unit_tests/longrun/router_node.h"

namespace wisteriadale::longrun {

/// Number of submitted requests, and of their outcomes as seen by callers.
struct caller_counts {
  uint64_t sent = 0;
  uint64_t complete = 0;          ///< succeeded
  uint64_t not_run = 0;           ///< failed, and reported as not run
  uint64_t unknown = 0;           ///< failed, and not known whether it ran
  uint64_t done_incomplete = 0;   ///< ran, but the result is missing or cut
  uint64_t lost_with_router = 0;  ///< unanswered, as the router crashed
};

/// Callers that send requests and resend them under the same idempotency key,
/// also to other routers. They check each answer against the execution log and
/// against the result that the request's body determines.
class callers {
 public:
  /// Routers by index; null while one is down.
  using router_list = std::vector<std::shared_ptr<router_node>>;

  callers(fakes::virtual_time& time, common::random_source& random,
          execution_log& runs, router_list& routers);

  /// Sends a new request to a random router, and some of those with a key to a
  /// second one as well.
  void SendNewRequest();
  /// Abandons the open requests at the crashed router and schedules their
  /// resends.
  void OnRouterCrash(const router_node* router);
  /// Checks the invariants that hold once no request is in progress.
  void CheckQuiescent() const;

  const caller_counts& counts() const { return counts_; }

 private:
  friend class checking_sink;

  /// What a caller wants done, over all its submissions. Those of one logical
  /// request share an idempotency key, if it has one.
  struct logical_request {
    std::string pipeline;
    std::string key;
    std::string body;
    uint32_t resends_left = 0;
    bool settled = false;
  };
  /// One submission to a router.
  struct submitted_request {
    std::shared_ptr<logical_request> request;
    std::string request_id;
    std::string row_key;  ///< empty without an idempotency key
    std::string digest;
    common::time_point sent_at;
    const router_node* router = nullptr;
    std::weak_ptr<core::request_executor> executor;
    std::string streamed;
    uint32_t ends = 0;          ///< calls of OnEnd; 1 after a router crash
    bool body_differs = false;  ///< reuses the key with another body
  };

  void Send(const std::shared_ptr<logical_request>& request, bool other_body);
  void ResendLater(const std::shared_ptr<logical_request>& request);
  void OnEnd(const std::shared_ptr<submitted_request>& submission,
             const core::request_result& result);
  void CheckComplete(const submitted_request& submission,
                     const core::request_result& result) const;

  fakes::virtual_time& time_;
  common::random_source& random_;
  execution_log& execution_log_;
  router_list& routers_;
  std::shared_ptr<core::configuration> configuration_;
  std::map<std::string, std::shared_ptr<submitted_request>> pending_;
  caller_counts counts_;
  uint64_t next_request_ = 1;
};

}  // namespace wisteriadale::longrun
