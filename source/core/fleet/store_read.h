#pragma once

#include <algorithm>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "core/fleet/queue_owner.h"
#include "core/ports/row_store.h"
#include "core/routes/route_table.h"

namespace wisteriadale::core {

/// What one gateway's read of the store brought, for the other gateways of its
/// data centre, which then need not read it themselves.
struct store_read {
  store_point from;  ///< how far targets had been read before
  store_point to;    ///< and after
  /// Entries of targets that are not as they were at `from`, and tombstones.
  std::vector<stored_row> changes;
  routes_edition routes;  ///< in force at the reader
  /// Whether the reader follows the changes of routes at the store.
  bool routes_current = false;
};

/// Chooses the gateway of a data centre that reads the store for the others: as
/// an owner of a queue, since it needs the same of its VM.
/// @param candidates gateways of the data centre
/// @return its name; empty if there are no candidates
std::string ChooseStoreReader(std::span<const owner_candidate> candidates,
                              std::string_view data_centre);

/// Tells how old the statements of other processes are, whose clocks run at the
/// same rate but do not show the same time: a statement that took longer than
/// the fastest one so far was delayed by the difference.
class statement_clock {
 public:
  /// @param gateway that made the statement
  /// @param stated  when it holds, by the clock of that gateway
  /// @param now     when it arrived, by the own clock
  /// @return when it holds, by the own clock, but for the delay of the fastest
  /// statement of that gateway
  common::time_point WhenStated(const std::string& gateway,
                                common::time_point stated,
                                common::time_point now);
  /// Drops what is known of a gateway whose last link was lost: it may start
  /// again, with another clock.
  void Forget(const std::string& gateway) { offsets_.erase(gateway); }

 private:
  std::map<std::string, common::duration> offsets_;  ///< smallest so far
};

}  // namespace wisteriadale::core
