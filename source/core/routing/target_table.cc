#include "core/routing/target_table.h"

#include <algorithm>

namespace wisteriadale::core {

target_view* target_table::Ensure(std::string_view id, std::string_view pool,
                                  std::string_view data_centre) {
  const auto found = targets_.find(id);
  if (found != targets_.end()) return found->second.get();
  std::unique_ptr<target_view> view = std::make_unique<target_view>();
  view->id = id;
  view->pool = pool;
  view->data_centre = data_centre;
  target_view* raw = view.get();
  targets_.emplace(id, std::move(view));
  pools_[std::string(pool)].push_back(raw);
  return raw;
}

target_view* target_table::Find(std::string_view id) {
  const auto found = targets_.find(id);
  return found == targets_.end() ? nullptr : found->second.get();
}

void target_table::Erase(std::string_view id) {
  const auto found = targets_.find(id);
  if (found == targets_.end()) return;
  std::vector<target_view*>& members = pools_[found->second->pool];
  std::erase(members, found->second.get());
  targets_.erase(found);
}

std::vector<target_view*> target_table::Candidates(
    const routing_request& request) {
  std::vector<target_view*> result;
  const auto members = pools_.find(request.pool);
  if (members == pools_.end()) return result;
  for (target_view* view : members->second) {
    if (!view->Usable()) continue;
    const bool excluded =
        std::find(request.excluded.begin(), request.excluded.end(), view->id) !=
        request.excluded.end();
    if (!excluded) result.push_back(view);
  }
  return result;
}

std::vector<const target_view*> target_table::All() const {
  std::vector<const target_view*> result;
  for (const auto& [id, view] : targets_) result.push_back(view.get());
  return result;
}

}  // namespace wisteriadale::core
