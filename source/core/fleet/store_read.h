#pragma once

#include <algorithm>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
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

struct store_reader_choice_options {
  /// A reader that has told nothing for so long cannot read the store, or is
  /// stuck: another one is chosen.
  common::duration max_silence = std::chrono::milliseconds(1500);
  /// For so long it is not chosen again.
  common::duration exclusion = std::chrono::seconds(5);
};

/// Keeps the choice of the gateway that reads the store for a data centre.
class store_reader_choice {
 public:
  store_reader_choice(const store_reader_choice_options& options,
                      const common::clock& clock, std::string own_name,
                      std::string data_centre)
      : options_(options),
        clock_(clock),
        own_name_(std::move(own_name)),
        data_centre_(std::move(data_centre)) {}

  /// Chooses again.
  /// @param candidates gateways of the data centre, this one included
  /// @param can_read   whether this gateway can read the store itself
  /// @return whether the choice has changed
  bool Update(std::span<const owner_candidate> candidates, bool can_read);
  /// Records that a gateway told what it has read.
  void OnRead(const std::string& gateway) { heard_[gateway] = clock_.Now(); }
  void OnGatewayLost(const std::string& gateway);

  /// @return the gateway chosen last; empty if there is none
  const std::string& reader() const { return reader_; }
  /// @return whether it is this one
  bool is_reader() const { return reader_ == own_name_; }

 private:
  /// @return whether another gateway can be the reader
  bool IsSilent(const std::string& gateway);

  store_reader_choice_options options_;
  const common::clock& clock_;
  std::string own_name_;
  std::string data_centre_;
  std::string reader_;
  common::time_point chosen_at_{};
  std::map<std::string, common::time_point> heard_;
  std::map<std::string, common::time_point> excluded_until_;
};

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
