#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace wisteriadale::core {

enum class vm_state { kLive, kLeaving };
enum class vm_role { kRouter, kTarget };

/// A VM in the platform's list, which may be out of date.
struct vm_entry {
  std::string name;  ///< router name or target id
  vm_role role = vm_role::kTarget;
  vm_state state = vm_state::kLive;
  std::string pool;  ///< of a target
  std::string data_centre;
  std::string address;  ///< of the router or agent that runs on the VM
  uint16_t port = 0;
  bool operator==(const vm_entry&) const = default;
};

/// The platform's list of VMs.
class vm_list {
 public:
  virtual ~vm_list() = default;
  /// @param handler receives the list, or nothing if it is not available
  virtual void Fetch(
      std::function<void(std::optional<std::vector<vm_entry>>)> handler) = 0;
};

}  // namespace wisteriadale::core
