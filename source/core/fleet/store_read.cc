#include "core/fleet/store_read.h"

namespace wisteriadale::core {

std::string ChooseStoreReader(std::span<const owner_candidate> candidates,
                              std::string_view data_centre) {
  return ChooseQueueOwner(candidates,
                          "store reads of " + std::string(data_centre));
}

common::time_point statement_clock::WhenStated(const std::string& gateway,
                                               common::time_point stated,
                                               common::time_point now) {
  const common::duration offset = now - stated;
  const auto [known, is_first] = offsets_.try_emplace(gateway, offset);
  if (!is_first) known->second = std::min(known->second, offset);
  return stated + known->second;
}

}  // namespace wisteriadale::core
