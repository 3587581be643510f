#pragma once

#include <map>
#include <string>
#include <utility>

#include "common/clock.h"
#include "core/ports/object_store.h"

namespace wisteriadale::fakes {

/// In-memory object store of the platform that can simulate an outage.
class fake_object_store final : public core::object_store {
 public:
  explicit fake_object_store(common::timer_service& timers) : timers_(timers) {}

  bool down = false;  ///< reads find nothing and writes fail
  common::duration delay = std::chrono::milliseconds(1);  ///< before each reply

  void Get(std::string_view name,
           std::function<void(std::optional<std::string>)> handler) override {
    std::optional<std::string> found;
    const auto object = objects.find(std::string(name));
    if (!down && object != objects.end()) found = object->second;
    timers_.Schedule(delay,
                     [found, handler = std::move(handler)] { handler(found); });
  }

  void Put(std::string_view name, std::string_view data,
           std::function<void(bool)> handler) override {
    if (!down) objects[std::string(name)] = data;
    timers_.Schedule(delay, [stored = !down, handler = std::move(handler)] {
      handler(stored);
    });
  }

  std::map<std::string, std::string> objects;  ///< data by name

 private:
  common::timer_service& timers_;
};

}  // namespace wisteriadale::fakes
