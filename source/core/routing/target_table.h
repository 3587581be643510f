#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/routing/routing_policy.h"
#include "core/routing/target_view.h"

namespace wisteriadale::core {

/// All targets that a router knows, indexed by id and by pool. Pointers to a
/// target stay valid until it is erased.
class target_table {
 public:
  /// @return the target, which is created if the id is unknown
  target_view* FindOrCreate(std::string_view id, std::string_view pool,
                            std::string_view data_centre);
  target_view* Find(std::string_view id);
  void Erase(std::string_view id);
  /// @return the pool, or null if no target was ever added to it
  const target_pool* Pool(std::string_view name) const;
  std::vector<const target_view*> All() const;

 private:
  std::map<std::string, std::unique_ptr<target_view>, std::less<>> targets_;
  std::map<std::string, target_pool, std::less<>> pools_;
  uint64_t version_ = 0;  ///< highest version of all pools
};

}  // namespace wisteriadale::core
