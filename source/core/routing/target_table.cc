#include "core/routing/target_table.h"

#include "common/digest.h"

namespace wisteriadale::core {

target_view* target_table::FindOrCreate(std::string_view id,
                                        std::string_view pool,
                                        std::string_view data_centre) {
  const auto found = targets_.find(id);
  if (found != targets_.end()) return found->second.get();
  std::unique_ptr<target_view> view = std::make_unique<target_view>();
  view->id = id;
  view->pool = pool;
  view->data_centre = data_centre;
  view->hash = common::Hash64(id);
  target_view* added = view.get();
  targets_.emplace(id, std::move(view));
  target_pool& entry = pools_[std::string(pool)];
  entry.name = pool;
  entry.version = ++version_;
  entry.members.push_back(added);
  return added;
}

target_view* target_table::Find(std::string_view id) {
  const auto found = targets_.find(id);
  return found == targets_.end() ? nullptr : found->second.get();
}

void target_table::Erase(std::string_view id) {
  const auto found = targets_.find(id);
  if (found == targets_.end()) return;
  target_pool& pool = pools_[found->second->pool];
  pool.version = ++version_;
  std::erase(pool.members, found->second.get());
  targets_.erase(found);
}

const target_pool* target_table::Pool(std::string_view name) const {
  const auto found = pools_.find(name);
  return found == pools_.end() ? nullptr : &found->second;
}

std::vector<const target_view*> target_table::All() const {
  std::vector<const target_view*> result;
  for (const auto& [id, view] : targets_) result.push_back(view.get());
  return result;
}

}  // namespace wisteriadale::core
