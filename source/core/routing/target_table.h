#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "common/random.h"
#include "core/messages.h"
#include "core/ports/vm_list.h"

namespace wisteriadale::core {

/// What a router knows of one target.
struct target_view {
  std::string id;
  std::string pool;
  std::string data_centre;
  uint64_t incarnation = 0;  ///< of its agent; 0 while not connected
  bool connected = false;
  bool listed_leaving = false;   ///< the VM list says so
  bool drained = false;          ///< an operator or the preset says so
  load_report load;              ///< last one received
  uint32_t local_in_flight = 0;  ///< attempts of this router

  /// @return whether new work may be sent
  bool Usable() const {
    return connected && !listed_leaving && !drained && load.accepting;
  }
};

/// What a routing policy may look at besides the targets.
struct routing_request {
  std::string_view pool;
  std::string_view organisation;
  std::string_view prefix_key;
  std::vector<std::string> excluded;  ///< targets that this stage tried
};

/// Chooses a target for an attempt.
class routing_policy {
 public:
  virtual ~routing_policy() = default;
  /// @param candidates usable targets of the pool, never empty
  /// @return one of the candidates
  virtual target_view* Choose(const std::vector<target_view*>& candidates,
                              const routing_request& request) = 0;
};

/// The targets that a router knows, by pool.
class target_table {
 public:
  /// @return the target, created when it is not known yet
  target_view* Ensure(std::string_view id, std::string_view pool,
                      std::string_view data_centre);
  target_view* Find(std::string_view id);
  void Erase(std::string_view id);
  /// @return usable targets of the pool that are not excluded
  std::vector<target_view*> Candidates(const routing_request& request);
  std::vector<const target_view*> All() const;

 private:
  std::map<std::string, std::unique_ptr<target_view>, std::less<>> targets_;
  std::map<std::string, std::vector<target_view*>, std::less<>> pools_;
};

}  // namespace wisteriadale::core
