#pragma once

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/configuration/configuration_distributor.h"
#include "unit_tests/fakes/fake_object_store.h"
#include "unit_tests/fakes/fake_table.h"
#include "unit_tests/fakes/virtual_time.h"

namespace wisteriadale::fakes {

/// Connection of one router to the table, which can be cut.
class router_table final : public core::table {
 public:
  router_table(fake_table& rows, common::timer_service& timers)
      : rows_(rows), timers_(timers) {}

  bool reachable = true;
  uint64_t reads = 0;

  void Read(std::string_view key, core::table_priority priority,
            core::table_handler handler) override {
    ++reads;
    if (!reachable) return Fail(std::move(handler));
    rows_.Read(key, priority, std::move(handler));
  }
  void Write(std::string_view key, uint64_t expected_version,
             std::string_view value, core::table_priority priority,
             core::table_handler handler) override {
    if (!reachable) return Fail(std::move(handler));
    rows_.Write(key, expected_version, value, priority, std::move(handler));
  }
  void List(std::string_view prefix, uint32_t limit,
            core::table_priority priority,
            core::table_list_handler handler) override {
    rows_.List(prefix, limit, priority, std::move(handler));
  }
  void WriteBatch(const std::vector<core::table_write>& writes,
                  core::table_priority priority,
                  core::table_batch_handler handler) override {
    rows_.WriteBatch(writes, priority, std::move(handler));
  }
  void ListAfter(std::string_view prefix, std::string_view after,
                 uint32_t limit, core::table_priority priority,
                 core::table_list_handler handler) override {
    rows_.ListAfter(prefix, after, limit, priority, std::move(handler));
  }

 private:
  void Fail(core::table_handler handler) {
    timers_.Schedule(std::chrono::milliseconds(200),
                     [handler = std::move(handler)] { handler({}); });
  }

  fake_table& rows_;
  common::timer_service& timers_;
};

/// Simulates routers and agents that distribute configurations over channels
/// with a delay.
class configuration_cluster {
 public:
  struct router final : public core::control_network {
    router(configuration_cluster& cluster,
           const core::distribution_options& options)
        : owner(cluster),
          name(options.name),
          rows(cluster.rows, cluster.time),
          store(rows, cluster.objects, cluster.time, cluster.time,
                cluster.random),
          distributor(options, store, holder, *this, cluster.time,
                      cluster.time) {}

    void SendToRouter(std::string_view to,
                      const core::message& message) override {
      owner.Deliver(name, std::string(to), message);
    }
    void SendToAgent(std::string_view to,
                     const core::message& message) override {
      owner.DeliverToAgent(std::string(to), message);
    }

    configuration_cluster& owner;
    std::string name;
    router_table rows;
    core::configuration_holder holder;
    core::configuration_store store;
    core::configuration_distributor distributor;
    bool alive = true;
    bool paused = false;
    std::vector<std::pair<std::string, core::message>> pending;
  };

  struct agent {
    std::string name;
    uint64_t version = 0;
    uint64_t received = 0;
    bool stepped_down = false;
  };

  static std::string Document(const std::string& preset) {
    return R"({"preset":")" + preset +
           R"(","presets":{"calm":{},"peak":{},"works":{}},)"
           R"("pipelines":{"q":{"stages":[{"name":"s","pool":"p"}]}}})";
  }

  router& Add(const std::string& name, const std::string& data_centre) {
    core::distribution_options options;
    options.name = name;
    options.data_centre = data_centre;
    routers.push_back(std::make_unique<router>(*this, options));
    data_centre_of[name] = data_centre;
    return *routers.back();
  }

  router& Get(const std::string& name) {
    for (const std::unique_ptr<router>& entry : routers) {
      if (entry->name == name) return *entry;
    }
    return *routers.front();
  }

  void Connect(router& a, router& b) {
    if (Separated(a.name, b.name)) return;
    a.distributor.OnRouterConnected(b.name, data_centre_of[b.name],
                                    b.holder.version());
    b.distributor.OnRouterConnected(a.name, data_centre_of[a.name],
                                    a.holder.version());
  }

  void ConnectAll() {
    for (const std::unique_ptr<router>& a : routers) {
      for (const std::unique_ptr<router>& b : routers) {
        if (a->name < b->name) Connect(*a, *b);
      }
    }
  }

  /// Advances the time while all live processes ping each other.
  void Run(common::duration time_span) {
    constexpr common::duration kPingPeriod = std::chrono::milliseconds(250);
    for (common::duration elapsed{0}; elapsed < time_span;
         elapsed += kPingPeriod) {
      for (const std::unique_ptr<router>& from : routers) Ping(*from);
      time.Advance(kPingPeriod);
    }
  }

  void Kill(router& victim) {
    victim.alive = false;
    victim.rows.reachable = false;
    for (const std::unique_ptr<router>& other : routers) {
      other->distributor.OnRouterDisconnected(victim.name);
    }
  }

  /// Partitions a data centre from the others and from the table.
  void Partition(const std::string& data_centre) {
    partitioned_data_centre = data_centre;
    for (const std::unique_ptr<router>& entry : routers) {
      if (data_centre_of[entry->name] == data_centre) {
        entry->rows.reachable = false;
      }
      for (const std::unique_ptr<router>& other : routers) {
        if (Separated(entry->name, other->name)) {
          entry->distributor.OnRouterDisconnected(other->name);
        }
      }
    }
  }

  /// Ends the partition.
  void Heal() {
    partitioned_data_centre.clear();
    for (const std::unique_ptr<router>& entry : routers) {
      entry->rows.reachable = true;
    }
    ConnectAll();
  }

  core::apply_result Apply(router& at, const std::string& preset,
                           uint64_t expected, const std::string& token = "") {
    core::apply_result result;
    StartApply(at, preset, expected, token, &result);
    time.Advance(std::chrono::milliseconds(10));
    return result;
  }

  void StartApply(router& at, const std::string& preset, uint64_t expected,
                  const std::string& token, core::apply_result* result) {
    core::apply_request request;
    request.document = Document(preset);
    request.expected_version = expected;
    request.token = token;
    request.author = at.name;
    at.store.Apply(request, preset,
                   [&at, result, document = request.document](
                       const core::apply_result& answer) {
                     *result = answer;
                     if (!at.alive) return;
                     if (answer.status != core::apply_status::kAccepted) return;
                     at.distributor.OnAccepted(document, answer.version);
                   });
  }

  void Deliver(const std::string& from, const std::string& to,
               const core::message& message) {
    ++messages;
    if (!Get(from).alive || Separated(from, to)) return;
    time.Schedule(delay, [this, from, to, message] {
      router& receiver = Get(to);
      if (receiver.paused) {
        receiver.pending.emplace_back(from, message);
        return;
      }
      Receive(receiver, from, message);
    });
  }

  /// Resumes a paused router, which then receives its pending messages.
  void Resume(router& paused_router) {
    paused_router.paused = false;
    for (const auto& [from, message] : paused_router.pending) {
      Receive(paused_router, from, message);
    }
    paused_router.pending.clear();
  }

  virtual_time time;
  common::seeded_random random{1};
  fake_table rows{time, random};
  fake_object_store objects{time};
  common::duration delay = std::chrono::milliseconds(1);
  std::vector<std::unique_ptr<router>> routers;
  std::vector<std::unique_ptr<agent>> agents;
  std::map<std::string, std::string> data_centre_of;
  std::string partitioned_data_centre;
  uint64_t messages = 0;

 private:
  /// @return whether the partition separates two routers
  bool Separated(const std::string& a, const std::string& b) {
    if (partitioned_data_centre.empty()) return false;
    return (data_centre_of[a] == partitioned_data_centre) !=
           (data_centre_of[b] == partitioned_data_centre);
  }

  static void Receive(router& receiver, const std::string& from,
                      const core::message& message) {
    if (!receiver.alive) return;
    if (const auto* ping = std::get_if<core::ping_message>(&message)) {
      receiver.distributor.OnRouterVersion(from, ping->configuration_version);
    }
    if (const auto* update =
            std::get_if<core::configuration_message>(&message)) {
      receiver.distributor.OnConfiguration(from, *update);
    }
  }

  void Ping(router& from) {
    if (!from.alive || from.paused) return;
    core::ping_message ping;
    ping.configuration_version = from.holder.version();
    for (const std::unique_ptr<router>& to : routers) {
      if (to.get() != &from) Deliver(from.name, to->name, ping);
    }
    for (const std::unique_ptr<agent>& target : agents) {
      from.distributor.OnAgentVersion(target->name, target->version);
    }
  }

  void DeliverToAgent(const std::string& to, const core::message& message) {
    const auto* push = std::get_if<core::configuration_message>(&message);
    if (push == nullptr) return;
    for (const std::unique_ptr<agent>& entry : agents) {
      if (entry->name != to) continue;
      ++entry->received;
      entry->version = std::max(entry->version, push->version);
    }
  }
};

}  // namespace wisteriadale::fakes
