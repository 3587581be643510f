#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace wisteriadale::standin {

/// One execution of a non-idempotent operation, as received by a target.
struct ledger_entry {
  std::string operation_key;
  std::string operation_token;
  std::string target;
};

/// Every operation that was executed, over all targets of a stand-in process.
class ledger {
 public:
  void Add(ledger_entry entry) { entries_.push_back(std::move(entry)); }
  const std::vector<ledger_entry>& entries() const { return entries_; }

 private:
  std::vector<ledger_entry> entries_;
};

/// One order as received by a target.
struct order_entry {
  std::string target;
  std::string order_id;
  uint64_t fencing_number = 0;
  std::string kind;
  std::string argument;
  std::string authority;
  bool accepted = false;
};

/// Every order received by any target, rejected ones too, in order of arrival.
class order_log {
 public:
  void Add(order_entry entry) { entries_.push_back(std::move(entry)); }
  const std::vector<order_entry>& entries() const { return entries_; }

 private:
  std::vector<order_entry> entries_;
};

}  // namespace wisteriadale::standin
