#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/ports/row_store.h"

namespace wisteriadale::core {

/// Whether the operator has evacuated a data centre: its targets get no new
/// work until that is taken back.
struct evacuation {
  std::string data_centre;
  bool evacuated = false;
  store_point at;  ///< where the store said so
};

/// What is known of the evacuation of each data centre, from this gateway's own
/// reads of the store and from other gateways. Of two statements about a data
/// centre, the one from the later point of the store's history holds.
class evacuations {
 public:
  /// @param evacuated whether the data centre is evacuated from now on
  using change_handler = std::function<void(const evacuation& evacuated)>;

  /// Applies a statement.
  /// @return false if it was refused, because too many data centres are known
  bool Apply(const evacuation& statement);
  /// Applies a complete list of the evacuated data centres.
  /// @param listed as read
  /// @param at     where the store was then: data centres that are not listed
  ///               were not evacuated at that point
  void ApplyAll(std::span<const evacuation> listed, const store_point& at);

  bool IsEvacuated(std::string_view data_centre) const;
  /// @return what is known, for other gateways
  std::vector<evacuation> Statements() const;

  /// @param handler called after a data centre was evacuated or taken back
  void SetChangeHandler(change_handler handler) {
    change_handler_ = std::move(handler);
  }

 private:
  struct statement {
    bool evacuated = false;
    store_point at;
  };

  /// Drops the oldest statement about a data centre that is not evacuated.
  /// @return whether there was one
  bool DropOldest();

  std::map<std::string, statement, std::less<>> known_;  ///< by data centre
  change_handler change_handler_;
};

}  // namespace wisteriadale::core
