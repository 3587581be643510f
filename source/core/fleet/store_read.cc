#include "core/fleet/store_read.h"

namespace wisteriadale::core {

std::string ChooseStoreReader(std::span<const owner_candidate> candidates,
                              std::string_view data_centre) {
  return ChooseQueueOwner(candidates,
                          "store reads of " + std::string(data_centre));
}

bool store_reader_choice::IsSilent(const std::string& gateway) {
  const common::time_point now = clock_.Now();
  const auto excluded = excluded_until_.find(gateway);
  if (excluded != excluded_until_.end() && excluded->second > now) return true;
  if (gateway != reader_) return false;
  const auto heard = heard_.find(gateway);
  const common::time_point last =
      heard == heard_.end() ? chosen_at_ : std::max(chosen_at_, heard->second);
  if (now - last <= options_.max_silence) return false;
  excluded_until_[gateway] = now + options_.exclusion;
  return true;
}

bool store_reader_choice::Update(std::span<const owner_candidate> candidates,
                                 bool can_read) {
  std::vector<owner_candidate> able;
  for (const owner_candidate& each : candidates) {
    const bool unable =
        each.name == own_name_ ? !can_read : IsSilent(each.name);
    if (!unable) able.push_back(each);
  }
  const std::string chosen = ChooseStoreReader(able, data_centre_);
  if (chosen == reader_) return false;
  reader_ = chosen;
  chosen_at_ = clock_.Now();
  return true;
}

void store_reader_choice::OnGatewayLost(const std::string& gateway) {
  heard_.erase(gateway);
  excluded_until_.erase(gateway);
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
