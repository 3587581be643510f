#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/agent/attempt_scheduler.h"
#include "core/pipeline/request_executor.h"
#include "core/quarantine/quarantine.h"
#include "unit_tests/fakes/fake_table.h"
#include "unit_tests/fakes/virtual_time.h"

namespace wisteriadale::fakes {

/// Routers, agents and targets of one pool: the real core over channels that
/// deliver after a delay. Bodies that contain `poison` crash their target.
class crash_cluster {
 public:
  /// A target and its agent, which survives crashes of the target.
  struct node final : public core::target_client, public core::router_sender {
    node(crash_cluster& cluster, std::string name, uint64_t incarnation)
        : owner(cluster), id(std::move(name)) {
      core::attempt_scheduler_options options;
      options.incarnation = incarnation;
      options.concurrency_limit = 64;
      options.queue_limit = 256;
      scheduler = std::make_unique<core::attempt_scheduler>(
          options, *this, *this, cluster.time, cluster.time);
    }

    void Run(const core::execute_message& execute,
             core::target_observer* observer) override {
      const uint64_t crashes_before = crashes;
      const std::string attempt = execute.attempt_id;
      if (down) {
        // A target that is still restarting drops the run.
        owner.time.Schedule(owner.delay, [observer, attempt] {
          core::target_result lost;
          lost.code = common::result_code::kTargetLost;
          lost.crashed = true;
          observer->OnTargetResult(attempt, lost);
        });
        return;
      }
      running[attempt] = observer;
      owner.starts[execute.digest] += 1;
      const bool poison = execute.input.find("poison") != std::string::npos;
      owner.time.Schedule(
          poison ? owner.crash_after : owner.service,
          [this, attempt, crashes_before, poison] {
            const bool still_running =
                crashes_before == crashes && running.contains(attempt);
            if (!still_running) return;
            if (poison) return Crash();
            core::target_observer* run_observer = running[attempt];
            running.erase(attempt);
            core::target_result done;
            done.result = "\"answer\"";
            run_observer->OnTargetResult(attempt, done);
          });
    }
    void Cancel(std::string_view attempt_id) override {
      running.erase(std::string(attempt_id));
    }
    void CallWhenAvailable(const std::function<void()>& action) override {
      owner.time.Schedule(owner.restart, [this, action] {
        down = false;
        action();
      });
    }
    void Send(core::router_connection_id link,
              const core::message& message) override {
      owner.time.Schedule(owner.delay, [this, link, message] {
        owner.FromAgent(id, static_cast<size_t>(link) - 1, message);
      });
    }

    void Crash() {
      ++crashes;
      down = true;
      const std::map<std::string, core::target_observer*> lost =
          std::exchange(running, {});
      core::target_result result;
      result.code = common::result_code::kTargetLost;
      result.crashed = true;
      for (const auto& [attempt, observer] : lost) {
        observer->OnTargetResult(attempt, result);
      }
    }

    crash_cluster& owner;
    std::string id;
    std::unique_ptr<core::attempt_scheduler> scheduler;
    std::map<std::string, core::target_observer*> running;
    uint64_t crashes = 0;
    bool down = false;
  };

  struct router final : public core::agent_sender,
                        public core::quarantine_network {
    router(crash_cluster& cluster, size_t number)
        : owner(cluster),
          index(number),
          policies(cluster.time, cluster.random,
                   core::router_entry{"r" + std::to_string(number), "a"}),
          attempts(*this, cluster.time, std::chrono::seconds(2)),
          operations(cluster.rows, cluster.time, cluster.time, cluster.random),
          quarantined({}, cluster.rows, *this, cluster.time, cluster.time),
          dependencies{cluster.time,   cluster.time,
                       cluster.random, targets,
                       policies,       attempts,
                       operations,     "r" + std::to_string(number),
                       &quarantined} {}

    bool Send(std::string_view target, const core::message& message) override {
      owner.time.Schedule(owner.delay,
                          [this, id = std::string(target), message] {
                            owner.ToAgent(id, index, message);
                          });
      return true;
    }
    void BroadcastQuarantine(const core::quarantine_message& message) override {
      for (size_t i = 0; i < owner.routers.size(); ++i) {
        if (i != index) owner.SendToPeer(i, message);
      }
    }
    void SendQuarantine(std::string_view name,
                        const core::quarantine_message& message) override {
      owner.SendToPeer(std::stoul(std::string(name)), message);
    }

    crash_cluster& owner;
    size_t index;
    core::target_table targets;
    core::policy_provider policies;
    core::attempt_table attempts;
    core::operation_store operations;
    core::quarantine quarantined;
    core::executor_dependencies dependencies;
  };

  struct recording_sink final : public core::request_sink {
    void OnData(std::string_view) override {}
    void OnEnd(const core::request_result& end) override {
      ended = true;
      result = end;
    }
    bool ended = false;
    core::request_result result;
  };

  crash_cluster(size_t router_count, size_t target_count) {
    for (size_t i = 0; i < target_count; ++i) {
      const std::string id = "target-" + std::to_string(i);
      nodes[id] = std::make_unique<node>(*this, id, i + 1);
    }
    for (size_t i = 0; i < router_count; ++i) AddRouter();
    UsePreset("{}");
  }

  /// @param preset JSON text of the preset in force
  void UsePreset(const std::string& preset) {
    in_force = core::ParseConfiguration(
                   R"({"preset":"calm","presets":{"calm":)" + preset +
                       R"(},"pipelines":{
                         "q":{"stages":[{"name":"s","pool":"p"}]},
                         "b":{"stages":[{"name":"s","pool":"p",
                                         "idempotent":false}]}}})",
                   1)
                   .value();
  }

  router& AddRouter() {
    routers.push_back(std::make_unique<router>(*this, routers.size()));
    router& added = *routers.back();
    uint64_t incarnation = 0;
    for (const auto& [id, entry] : nodes) {
      core::target_view* view = added.targets.FindOrCreate(id, "p", "a");
      view->connected = true;
      view->incarnation = std::stoul(id.substr(7)) + 1;
      view->load = entry->scheduler->Load();
      ++incarnation;
    }
    return added;
  }

  std::shared_ptr<recording_sink> Request(size_t at, const std::string& body,
                                          const std::string& pipeline = "q",
                                          const std::string& key = "") {
    std::shared_ptr<recording_sink> sink = std::make_shared<recording_sink>();
    router& receiver = *routers[at];
    core::request_description description;
    description.id = random.HexId();
    description.organisation = "parks";
    description.body = "\"" + body + "\"";
    description.digest = body;
    description.idempotency_key = key;
    description.deadline = std::chrono::seconds(5);
    description.plan = *in_force->FindPipeline(pipeline);
    description.configuration_in_force = in_force;
    if (receiver.quarantined.StatusOf(body) ==
        core::quarantine_status::kQuarantined) {
      sink->ended = true;
      sink->result.code = common::result_code::kDigestQuarantined;
      return sink;
    }
    core::request_executor::Create(receiver.dependencies, description, sink)
        ->Start();
    return sink;
  }

  uint64_t TargetsLost() const {
    uint64_t lost = 0;
    for (const auto& [id, entry] : nodes) lost += entry->crashes;
    return lost;
  }

  void ToAgent(const std::string& id, size_t from,
               const core::message& message) {
    core::attempt_scheduler& scheduler = *nodes[id]->scheduler;
    if (const auto* execute = std::get_if<core::execute_message>(&message)) {
      scheduler.OnExecute(from + 1, *execute);
    } else if (const auto* cancel =
                   std::get_if<core::cancel_message>(&message)) {
      scheduler.OnCancel(*cancel);
    }
  }

  void FromAgent(const std::string& id, size_t to,
                 const core::message& message) {
    const auto* outcome = std::get_if<core::outcome_message>(&message);
    if (outcome == nullptr) return;
    // The load reaches every router with the next ping.
    routers[to]->targets.Find(id)->ApplyLoadReport(outcome->load);
    routers[to]->attempts.OnOutcome(id, *outcome);
  }

  void SendToPeer(size_t to, const core::quarantine_message& message) {
    if (partitioned) return;
    time.Schedule(delay, [this, to, message] {
      routers[to]->quarantined.OnMessage(message);
    });
  }

  /// Lets time pass while pings bring the agents' loads to every router.
  void Run(common::duration by) {
    constexpr common::duration kPing = std::chrono::milliseconds(250);
    for (common::duration passed{0}; passed < by; passed += kPing) {
      time.Advance(kPing);
      for (const std::unique_ptr<router>& entry : routers) {
        for (const auto& [id, target] : nodes) {
          entry->targets.Find(id)->ApplyLoadReport(target->scheduler->Load());
        }
      }
    }
  }

  virtual_time time;
  common::seeded_random random{1};
  fake_table rows{time, random};
  common::duration delay = std::chrono::milliseconds(1);
  common::duration service = std::chrono::milliseconds(50);
  common::duration crash_after = std::chrono::milliseconds(20);
  common::duration restart = std::chrono::seconds(1);
  bool partitioned = false;  ///< between routers
  std::map<std::string, std::unique_ptr<node>> nodes;
  std::vector<std::unique_ptr<router>> routers;
  std::map<std::string, int> starts;  ///< by digest
  std::shared_ptr<const core::configuration> in_force;
};

}  // namespace wisteriadale::fakes
