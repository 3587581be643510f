#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/random.h"
#include "net/http_server.h"

/// Stand-ins for the platform and the targets, for tests and measurements.
namespace wisteriadale::standin {

/// How a target that the stand-in plays behaves.
struct target_options {
  std::string id;
  std::string kind;  ///< engine, stage or plain
  uint16_t port = 0;
  uint32_t tokens = 24;       ///< of an engine's answer
  int64_t token_us = 3000;    ///< time for a token at low load
  int64_t service_us = 2000;  ///< time for a stage or plain call
};

/// One run of a non-idempotent operation, as the target saw it.
struct ledger_entry {
  std::string operation_key;
  std::string operation_token;
  std::string target;
};

/// Every operation that ran, over all targets of a stand-in.
class ledger {
 public:
  void Add(ledger_entry entry) { entries_.push_back(std::move(entry)); }
  const std::vector<ledger_entry>& entries() const { return entries_; }

 private:
  std::vector<ledger_entry> entries_;
};

/// Plays one target over HTTP.
class target_service {
 public:
  static std::optional<std::unique_ptr<target_service>> Create(
      net::event_loop& loop, const std::string& address,
      const target_options& options, ledger& operations);

 private:
  struct run;

  target_service(net::event_loop& loop, const target_options& options,
                 ledger& operations)
      : loop_(loop), options_(options), operations_(operations) {}

  void OnRun(const net::http_request& request,
             const std::shared_ptr<net::http_responder>& responder);
  void NextToken(const std::shared_ptr<run>& current);

  net::event_loop& loop_;
  target_options options_;
  ledger& operations_;
  uint32_t running_ = 0;
  std::unique_ptr<net::http_server> server_;
};

/// @return the text that an engine generates for an input, the same on every
/// target, so that a stream can be continued elsewhere
std::string GeneratedText(const std::string& input, uint32_t tokens);

}  // namespace wisteriadale::standin
