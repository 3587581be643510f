#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/clock.h"
#include "net/http1_server.h"

namespace wisteriadale::platform_standin {

/// How a simulated target behaves, set by tests through /control/targets.
struct target_behaviour {
  /// Field `how` of /control/targets. "" serves requests; "shed" rejects them
  /// with 503 as not executed; "fail" runs and answers with `status`; "lose"
  /// runs and drops the connection; "mute" runs and never answers; "cut" drops
  /// the connection in the middle of an event; "half" ends the response there;
  /// "endless" sends one event without end;
  /// "copy" sends a second copy of its response, late, on the same connection;
  /// "unsigned" omits the response signature; "foreign" answers with the id of
  /// another request.
  std::string mode;
  uint32_t events = 4;     ///< in a stream
  int64_t event_ms = 5;    ///< interval between two events
  int64_t work_ms = 1;     ///< service time before the response
  uint32_t cut_after = 2;  ///< complete events before a cut
  uint32_t padding = 0;    ///< bytes appended to a body that is not streamed
  int status = 500;        ///< of the responses of mode "fail"
  /// Part of a prompt on which the target loses its connection when it begins
  /// to write; empty: none.
  std::string crashing_part;
  /// A piece with this key crashes the target.
  std::string crashing_key;
  /// Values of the headers in which its responses name a request limit.
  std::vector<std::string> limits;
  /// Further headers of its responses: names and values, in turn.
  std::vector<std::string> headers;
};

/// A recorded call to a simulated target: the run of a request, a stage run, or
/// the release of stage results.
struct target_run {
  std::string target_id;
  std::string request_id;
  std::string method;
  std::string path;
  nlohmann::json headers;  ///< by lower-case name
  std::string body;
  int64_t at_ms = 0;      ///< when it arrived, on the stand-in's own clock
  bool rejected = false;  ///< it did not run
};

/// @return an event of a stream, with its id
std::string FormatEvent(uint32_t number);

/// @param at when the request arrived
/// @return the record of a request that a target runs
target_run MakeRun(const std::string& target, const net::message_head& head,
                   const std::string& body, common::time_point at);

/// Simulates a target of the platform: a plain service, an engine that streams
/// events, or a target that runs stages piece by piece.
class simulated_target {
 public:
  /// @param runs takes the calls that the target serves
  simulated_target(net::event_loop& loop, common::clock& clock, std::string id,
                   std::string service, std::vector<target_run>& runs)
      : loop_(loop),
        clock_(clock),
        id_(std::move(id)),
        service_(std::move(service)),
        runs_(runs) {}

  /// Listens on a loopback port.
  /// @return false with LastError set when it cannot
  bool Listen(uint16_t port);
  void SetBehaviour(const target_behaviour& behaviour) {
    behaviour_ = behaviour;
  }
  const std::string& id() const { return id_; }
  const std::string& service() const { return service_; }

 private:
  void Handle(const std::shared_ptr<net::http1_exchange>& exchange);
  void MakePieces(const std::shared_ptr<net::http1_exchange>& exchange);
  void Run(const std::shared_ptr<net::http1_exchange>& exchange);
  void RespondTwice(const std::shared_ptr<net::http1_exchange>& exchange);
  void Stream(const std::shared_ptr<net::http1_exchange>& exchange);
  void SendEvent(const std::shared_ptr<net::http1_exchange>& exchange,
                 uint32_t number);
  void Record(const net::http1_exchange& exchange, bool rejected = false);
  std::vector<net::http_header> ResponseHeaders(
      const net::http1_exchange& exchange) const;

  net::event_loop& loop_;
  common::clock& clock_;
  std::string id_;
  std::string service_;
  std::string address_;
  std::vector<target_run>& runs_;
  target_behaviour behaviour_;
  uint64_t last_handle_ = 0;
  std::unique_ptr<net::http1_server> server_;
  std::vector<std::shared_ptr<net::http1_exchange>> unanswered_;
};

}  // namespace wisteriadale::platform_standin
