#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "common/clock.h"
#include "net/http1_server.h"

namespace wisteriadale::platform_standin {

/// Faults of the store, set by tests.
struct store_faults {
  std::string how;         ///< "", "busy" (503), "silent", "lose" (no answers)
  int64_t delay_ms = 0;    ///< before each answer
  bool forgotten = false;  ///< changes of the past are not kept: 410
};

/// Plays the platform's store: rows with versions, and a feed of changes.
class row_service {
 public:
  row_service(net::event_loop& loop, common::clock& clock)
      : loop_(loop), clock_(clock) {}

  void Handle(const std::shared_ptr<net::http1_exchange>& exchange);
  /// Writes or, with no value, removes a row.
  void Set(const std::string& table, const std::string& key,
           const std::optional<std::string>& value);
  void SetFaults(const store_faults& faults) { faults_ = faults; }
  uint64_t calls() const { return calls_; }
  /// @return the value of a row, or nothing
  std::optional<std::string> Find(const std::string& table,
                                  const std::string& key) const;

 private:
  struct row {
    std::string value;
    uint64_t version = 0;
    bool removed = false;
  };
  struct waiting_feed {
    std::shared_ptr<net::http1_exchange> exchange;
    std::string table;
    uint64_t after = 0;
    common::time_point until;
  };

  void Serve(const std::shared_ptr<net::http1_exchange>& exchange);
  void Write(const std::shared_ptr<net::http1_exchange>& exchange);
  bool AnswerFeed(const waiting_feed& feed);
  void CheckFeeds();
  nlohmann::json Rows(const std::string& table, uint64_t after,
                      bool removed_too) const;
  void Answer(net::http1_exchange* exchange, int status,
              const nlohmann::json& body) const;

  net::event_loop& loop_;
  common::clock& clock_;
  store_faults faults_;
  std::map<std::pair<std::string, std::string>, row> rows_;
  uint64_t version_ = 1;
  uint64_t calls_ = 0;
  std::vector<waiting_feed> feeds_;
  std::vector<std::shared_ptr<net::http1_exchange>> unanswered_;
};

}  // namespace wisteriadale::platform_standin
