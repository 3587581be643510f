#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "common/random.h"
#include "common/trace.h"
#include "core/agent/target_client.h"
#include "net/http_client.h"

/// The agent process, which runs beside a target.
namespace wisteriadale::agent {

/// A target reached over HTTP. Its response is a stream of JSON lines; the last
/// line marks the response as complete.
class http_target final : public core::target_client {
 public:
  http_target(net::event_loop& loop, net::endpoint target, common::clock& clock,
              common::random_source& random)
      : loop_(loop),
        target_(std::move(target)),
        clock_(clock),
        random_(random) {}

  void Run(const core::execute_message& execute,
           core::target_observer* observer) override;
  void Cancel(std::string_view attempt_id) override;
  void CallWhenAvailable(const std::function<void()>& action) override;

 private:
  struct run {
    std::shared_ptr<net::http_transfer> transfer;
    std::string partial_line;  ///< bytes after the last line end
    core::target_observer* observer = nullptr;
    bool finished = false;  ///< the last line has arrived
    core::target_result result;
    common::span_record span;  ///< of the call to the target
  };

  void OnBytes(const std::string& attempt_id, std::string_view data);
  static void OnLine(const std::string& attempt_id, run* current,
                     std::string_view line);
  void OnDone(const std::string& attempt_id, const net::http_result& result);

  net::event_loop& loop_;
  net::endpoint target_;
  common::clock& clock_;
  common::random_source& random_;
  std::unordered_map<std::string, run> runs_;
};

}  // namespace wisteriadale::agent
