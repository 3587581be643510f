#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "common/result_code.h"
#include "core/operations/operation_store.h"
#include "core/pipeline/attempt_table.h"

namespace wisteriadale::core {

/// An operation whose row is reserved and not settled yet.
struct in_doubt_operation {
  std::string row_key;
  operation_record record;
  common::duration age{0};  ///< since the row changed, by the wall clock
};

/// An operator's decision on an operation in doubt.
struct in_doubt_decision {
  std::string row_key;
  uint64_t version = 0;  ///< of the row that the operator saw
  bool ran = false;
  std::string operator_name;
  std::string note;
  std::string result;  ///< JSON text for later requests, when it ran
};

/// Result of a Settle by an operator.
struct in_doubt_result {
  common::result_code code = common::result_code::kOk;
  std::string reason;
  operation_record record;  ///< the current row, if known
};

/// Lists operations that stay in doubt and lets operators settle them by hand.
/// It never runs an operation.
class in_doubt_resolver {
 public:
  using find_handler =
      std::function<void(std::optional<std::vector<in_doubt_operation>>)>;
  using settle_handler = std::function<void(const in_doubt_result&)>;

  in_doubt_resolver(table& rows, operation_store& operations,
                    attempt_table& attempts, common::clock& clock)
      : rows_(rows),
        operations_(operations),
        attempts_(attempts),
        clock_(clock) {}

  /// Lists operations in doubt, in the order of their keys.
  /// @param min_age younger operations are left out: they may still be running
  /// @param handler gets no value when the table does not answer
  void Find(common::duration min_age, find_handler handler);

  /// Settles an operation. "Not run" is accepted only if the agent confirms
  /// that the token never runs, or once no dispatch can be in flight any more.
  void Settle(in_doubt_decision decision, settle_handler handler);

 private:
  struct search;

  void NextPage(const std::shared_ptr<search>& work);
  void OnPage(const std::shared_ptr<search>& work,
              const table_list_result& page);
  void OnRow(const in_doubt_decision& decision,
             const std::optional<operation_record>& row,
             const settle_handler& handler);
  void Write(const in_doubt_decision& decision, operation_record record,
             const settle_handler& handler);
  common::duration AgeOf(const operation_record& record) const;

  table& rows_;
  operation_store& operations_;
  attempt_table& attempts_;
  common::clock& clock_;
};

}  // namespace wisteriadale::core
