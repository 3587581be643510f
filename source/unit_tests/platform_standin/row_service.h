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

/// Injected faults of the store, set by tests through /control/store.
struct store_faults {
  /// Field `how`. "" serves; "busy" answers 503; "silent" drops calls; "lose"
  /// applies writes, but never answers them.
  std::string mode;
  int64_t delay_ms = 0;  ///< before each response
  /// Field `forgotten`: the next feed call gets 410.
  bool feed_expired = false;
};

/// Simulates the platform's store: versioned rows and a change feed by long
/// polling.
class row_service {
 public:
  row_service(net::event_loop& loop, common::clock& clock)
      : loop_(loop), clock_(clock) {}

  /// Serves one call of the store's API.
  void Handle(const std::shared_ptr<net::http1_exchange>& exchange);
  /// Writes a row or, without a value, replaces it by a tombstone.
  void Set(const std::string& table, const std::string& key,
           const std::optional<std::string>& value);
  /// Takes the copy that Restore returns to.
  void TakeCopy() { copy_ = {rows_, version_}; }
  /// Loses what was written since the copy was taken. Versions go back and are
  /// given out again; calls that wait are ended.
  void Restore();
  void SetFaults(const store_faults& faults) { faults_ = faults; }
  /// @return the number of API calls so far
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
  struct pending_feed {
    std::shared_ptr<net::http1_exchange> exchange;
    std::string table;
    uint64_t after = 0;
    common::time_point until;
  };

  struct snapshot {
    std::map<std::pair<std::string, std::string>, row> rows;
    uint64_t version = 0;
  };

  void Serve(const std::shared_ptr<net::http1_exchange>& exchange);
  void Write(const std::shared_ptr<net::http1_exchange>& exchange);
  bool RespondToFeed(const pending_feed& feed);
  void CheckFeeds();
  nlohmann::json Rows(const std::string& table, uint64_t after,
                      bool include_removed) const;
  void Respond(net::http1_exchange* exchange, int status,
               const nlohmann::json& body) const;

  net::event_loop& loop_;
  common::clock& clock_;
  store_faults faults_;
  std::map<std::pair<std::string, std::string>, row> rows_;
  uint64_t version_ = 1;
  uint64_t era_ = 1;  ///< rises with each Restore
  snapshot copy_;
  uint64_t calls_ = 0;
  std::vector<pending_feed> pending_feeds_;
  std::vector<std::shared_ptr<net::http1_exchange>> unanswered_;
};

}  // namespace wisteriadale::platform_standin
