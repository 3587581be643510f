#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/http1_parser.h"
#include "net/tcp_stream.h"
#include "unit_tests/platform_standin/simulated_target.h"

namespace wisteriadale::platform_standin {

/// Where and how a response breaks off, set by tests through /control/broken.
struct response_break {
  /// Field `framing`: "length", "chunks", or "close" for neither.
  std::string framing = "length";
  /// Field `at`: "head" within the headers; "start" behind them; "inside" an
  /// event or the body; "between" two events; "end" behind the last byte of the
  /// body, before its last chunk or, with a length, ten bytes too early;
  /// "trailer" behind the line of the last chunk; "whole" does not break off.
  std::string at = "whole";
  bool reset = false;      ///< resets the connection rather than closing it
  int status = 200;        ///< of the response
  bool is_signed = true;   ///< the response has the target's signature
  bool is_stream = true;   ///< responds with events to requests for a stream
  uint32_t events = 4;     ///< in a stream
  uint32_t cut_after = 2;  ///< complete events before a break
  uint32_t padding = 0;    ///< bytes appended to a body that is not streamed
  uint32_t whole_first =
      0;                ///< complete responses before the first that breaks
  int64_t end_ms = 20;  ///< from the last byte to the end of the connection
  /// Field `repeats`: refuses each other request of a connection (503, not
  /// executed), and sends that response once more before the next.
  bool repeats_refusal = false;
  /// Field `endless`: if not empty, a response has a signed head with this
  /// framing, then `begin`, and then these bytes again and again.
  std::string endless;
  std::string begin;
};

/// A target of the platform that writes the bytes of its responses itself, so
/// that they can break off anywhere.
class broken_target {
 public:
  /// @param runs takes the requests that the target runs
  broken_target(net::event_loop& loop, common::clock& clock, std::string id,
                std::vector<target_run>& runs)
      : loop_(loop), clock_(clock), id_(std::move(id)), runs_(runs) {}
  ~broken_target();
  broken_target(const broken_target&) = delete;
  broken_target& operator=(const broken_target&) = delete;

  /// Listens on a loopback port.
  /// @return false with LastError set when it cannot
  bool Listen(uint16_t port);
  void SetBreak(const response_break& next) {
    break_ = next;
    responses_ = 0;
  }
  const std::string& id() const { return id_; }

 private:
  class connection;

  void Record(const net::message_head& head, const std::string& body);
  /// @param body of the request
  /// @return the bytes of a response up to where it breaks off
  std::string Response(const net::message_head& head, const std::string& body,
                       bool breaks) const;
  /// @return the head of a response
  std::string Head(const net::message_head& request, bool streams,
                   size_t length) const;

  net::event_loop& loop_;
  common::clock& clock_;
  std::string id_;
  std::vector<target_run>& runs_;
  response_break break_;
  uint32_t responses_ = 0;
  std::unique_ptr<net::tcp_listener> listener_;
  std::unordered_map<connection*, std::shared_ptr<connection>> connections_;
};

}  // namespace wisteriadale::platform_standin
