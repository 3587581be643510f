#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/routing/routing_policy.h"
#include "core/routing/target_view.h"

namespace wisteriadale::core {

/// The targets that a router knows, by pool.
class target_table {
 public:
  /// @return the target, created when it is not known yet
  target_view* FindOrCreate(std::string_view id, std::string_view pool,
                            std::string_view data_centre);
  target_view* Find(std::string_view id);
  void Erase(std::string_view id);
  /// @return the pool, or null when it never had a target
  const target_pool* Pool(std::string_view name) const;
  std::vector<const target_view*> All() const;

 private:
  std::map<std::string, std::unique_ptr<target_view>, std::less<>> targets_;
  std::map<std::string, target_pool, std::less<>> pools_;
  uint64_t version_ = 0;
};

}  // namespace wisteriadale::core
