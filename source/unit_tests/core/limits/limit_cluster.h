#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/random.h"
#include "core/fleet/queue_owner.h"
#include "core/limits/target_limits.h"
#include "core/limits/target_slots.h"
#include "unit_tests/fakes/process_time.h"
#include "unit_tests/fakes/virtual_time.h"

namespace wisteriadale::fakes {

/// Gateways that share the limit of one target: the real core over links that
/// lose messages silently while they are cut, and are noticed to be cut only
/// later. Gateways can be killed, restarted and paused.
class limit_cluster {
 public:
  /// How requests that prefer the target behave while it takes none.
  enum class demand {
    kPrefers,  ///< they go to another target
    kWaits,    ///< they wait, as there is no other
  };

  limit_cluster(uint64_t seed, size_t gateways, demand behaviour)
      : random(seed), behaviour_(behaviour), cut_(gateways) {
    entry.id = "limited";
    entry.service = "service";
    entry.started_ms = 1;
    for (std::vector<bool>& each : cut_) each.assign(gateways, false);
    for (size_t i = 0; i < gateways; ++i) {
      nodes_.push_back(nullptr);
      Start(i);
    }
  }

  /// Starts a gateway, or restarts it: it has forgotten everything.
  void Start(size_t index) {
    if (nodes_[index]) Kill(index);
    nodes_[index] = std::make_shared<node>(*this, index);
    for (size_t other = 0; other < nodes_.size(); ++other) {
      if (other == index || !nodes_[other]) continue;
      ScheduleNotice(index, other);
      ScheduleNotice(other, index);
    }
    if (cold_until) TellCold(nodes_[index].get());
    nodes_[index]->RunLoad();
  }
  /// The target turns cold: it takes so many requests a second, as all gateways
  /// read in its entry, also those that start later.
  void SetCold(double per_second, common::duration length) {
    cold_per_s = per_second;
    cold_until = time.Now() + length;
    for (const std::shared_ptr<node>& each : nodes_) {
      if (each) TellCold(each.get());
    }
  }
  void Kill(size_t index) {
    nodes_[index]->process.Kill();
    killed_.push_back(std::exchange(nodes_[index], nullptr));
    for (size_t other = 0; other < nodes_.size(); ++other) {
      if (nodes_[other]) ScheduleNotice(other, index);
    }
  }
  bool running(size_t index) const { return nodes_[index] != nullptr; }
  void Pause(size_t index) { nodes_[index]->process.Pause(); }
  void Resume(size_t index) { nodes_[index]->process.Resume(); }
  /// Cuts or restores the link between two gateways.
  void SetCut(size_t left, size_t right, bool cut) {
    cut_[left][right] = cut_[right][left] = cut;
    if (nodes_[left]) ScheduleNotice(left, right);
    if (nodes_[right]) ScheduleNotice(right, left);
  }
  size_t size() const { return nodes_.size(); }
  core::target_limits& limits(size_t index) { return nodes_[index]->limits; }

  /// Arrivals at the target from gateways that have known the limit for half a
  /// second.
  const std::vector<common::time_point>& arrivals() const { return arrivals_; }
  /// @return the highest number of arrivals in a window, from a time on
  size_t BusiestWindow(
      common::time_point from,
      common::duration window = std::chrono::seconds(4)) const {
    size_t first = 0;
    size_t busiest = 0;
    for (size_t last = 0; last < arrivals_.size(); ++last) {
      while (arrivals_[first] < from ||
             arrivals_[first] <= arrivals_[last] - window) {
        if (first == last) break;
        ++first;
      }
      if (arrivals_[first] >= from) {
        busiest = std::max(busiest, last - first + 1);
      }
    }
    return busiest;
  }

  virtual_time time;
  common::seeded_random random;
  core::target_entry entry;
  double limit = 2;         ///< that the target names; below 0: none
  double demand_per_s = 5;  ///< of each gateway
  double cold_per_s = 0;
  std::optional<common::time_point> cold_until;
  /// The only gateway with demand; nothing: all have it.
  std::optional<size_t> only_demand;

 private:
  struct node final : public core::limit_peers {
    node(limit_cluster& cluster, size_t own_index)
        : owner(cluster),
          index(own_index),
          own_name("g" + std::to_string(own_index)),
          process(cluster.time),
          sees(cluster.cut_.size(), false),
          last_seen(cluster.cut_.size()),
          limits(process),
          slots(core::target_slots_options(), limits, *this, process, process,
                cluster.random) {
      limits.SetReportHandler([this](const core::limit_report& report) {
        for (size_t i = 0; i < owner.nodes_.size(); ++i) {
          if (i != index && sees[i]) SendReport(i, report);
        }
      });
      limits.SetBegunHandler(
          [this](const std::string& target) { slots.OnLimitBegun(target); });
      limits.SetEndedHandler(
          [this](const std::string& target) { slots.OnLimitEnded(target); });
    }

    const std::string& name() const override { return own_name; }
    std::vector<core::owner_candidate> Candidates() const {
      std::vector<core::owner_candidate> candidates;
      candidates.push_back({own_name, 1, false});
      for (size_t i = 0; i < owner.nodes_.size(); ++i) {
        if (i != index && sees[i]) {
          candidates.push_back({"g" + std::to_string(i), 1, false});
        }
      }
      return candidates;
    }
    std::string OwnerOf(std::string_view target) const override {
      return core::ChooseQueueOwner(Candidates(), target);
    }
    uint64_t View() const { return core::ViewDigest(Candidates()); }
    void AnnounceView() {
      for (size_t i = 0; i < sees.size(); ++i) {
        if (i == index || !sees[i]) continue;
        Deliver("g" + std::to_string(i),
                [from = index, view = View()](node* at) {
                  at->views[from] = view;
                });
      }
    }
    size_t agreeing() const override {
      size_t count = 1;
      for (size_t i = 0; i < sees.size(); ++i) {
        const auto view = views.find(i);
        if (sees[i] && view != views.end() && view->second == View()) ++count;
      }
      return count;
    }
    // Within a minute of its start, a gateway expects all whose address it
    // knows; later, those that it has seen within the last minute.
    size_t expected() const override {
      if (process.Now() - started < std::chrono::minutes(1)) {
        return owner.nodes_.size();
      }
      size_t count = 1;
      for (size_t i = 0; i < last_seen.size(); ++i) {
        const bool recent =
            process.Now() - last_seen[i] < std::chrono::minutes(1);
        if (i != index && (sees[i] || recent)) ++count;
      }
      return count;
    }
    bool Send(const std::string& gateway,
              const core::slot_request& request) override {
      return Deliver(gateway, [from = own_name, request](node* to) {
        to->slots.OnRequest(from, request);
      });
    }
    bool Send(const std::string& gateway,
              const core::slot_reply& reply) override {
      return Deliver(gateway, [from = own_name, reply](node* to) {
        to->slots.OnReply(from, reply);
      });
    }
    void SendReport(size_t to, const core::limit_report& report) {
      Deliver("g" + std::to_string(to), [from = own_name, report](node* at) {
        at->limits.Merge(report, from);
      });
    }
    template <typename Action>
    bool Deliver(const std::string& gateway, Action action) {
      const size_t to = std::stoul(gateway.substr(1));
      if (!sees[to]) return false;
      if (owner.cut_[index][to] || !owner.nodes_[to]) return true;
      const std::weak_ptr<node> receiver = owner.nodes_[to];
      std::function<void()> event =
          owner.nodes_[to]->process.Event([receiver, action] {
            const std::shared_ptr<node> at = receiver.lock();
            if (at) action(at.get());
          });
      owner.time.Schedule(owner.Latency(), std::move(event));
      return true;
    }

    void RunLoad() {
      const common::duration gap = common::FromSeconds(
          -std::log(1 - owner.random.Uniform()) / owner.demand_per_s);
      process.Schedule(gap, [this] {
        if (owner.only_demand.value_or(index) == index) HandleRequest();
        RunLoad();
      });
    }
    void HandleRequest() {
      if (slots.MaySend(owner.entry)) {
        SendToTarget();
      } else if (owner.behaviour_ == demand::kPrefers) {
        slots.Want(owner.entry);
      } else if (slots.ExpectedDelay(owner.entry) <= std::chrono::seconds(1)) {
        slots.Wait(owner.entry, std::chrono::seconds(1),
                   [this](const core::slot_outcome& outcome) {
                     if (outcome.granted) SendToTarget();
                   });
      }
    }
    void SendToTarget() {
      slots.Use(owner.entry);
      const common::time_point sent = process.Now();
      const bool told =
          told_at && sent - *told_at >= std::chrono::milliseconds(500);
      if (told) owner.arrivals_.push_back(sent);
      process.Schedule(owner.Latency(), [this, sent] {
        core::limit_observation response;
        if (owner.limit >= 0) {
          response.limit = {core::limit_statement::kNamed, owner.limit};
          if (!told_at) told_at = process.Now();
        }
        response.sent_at = sent;
        response.conclusive = true;
        limits.OnResponse(owner.entry, response, "");
      });
    }

    limit_cluster& owner;
    size_t index;
    std::string own_name;
    process_time process;
    common::time_point started = process.Now();
    std::vector<bool> sees;  ///< links as this gateway believes them to be
    std::map<size_t, uint64_t> views;  ///< as the other gateways announced them
    std::vector<common::time_point> last_seen;
    std::optional<common::time_point> told_at;
    core::target_limits limits;
    core::target_slots slots;
  };

  void TellCold(node* to) {
    to->limits.SetCold(entry, cold_per_s, *cold_until);
    // What is sent from now on counts.
    to->told_at = time.Now() - std::chrono::milliseconds(500);
  }
  common::duration Latency() {
    return std::chrono::microseconds(300 + random.Below(20000));
  }
  /// Lets a gateway notice the state of a link, up to 2 s later.
  void ScheduleNotice(size_t at, size_t other) {
    const std::weak_ptr<node> observer = nodes_[at];
    std::function<void()> event =
        nodes_[at]->process.Event([this, observer, other] {
          const std::shared_ptr<node> self = observer.lock();
          if (!self) return;
          const bool linked = nodes_[other] && !cut_[self->index][other];
          if (linked && !self->sees[other]) {
            self->sees[other] = true;
            self->AnnounceView();
            for (const core::limit_report& report : self->limits.Reports()) {
              self->SendReport(other, report);
            }
          }
          if (!linked && self->sees[other]) {
            self->sees[other] = false;
            self->views.erase(other);
            self->AnnounceView();
            self->last_seen[other] = self->process.Now();
          }
        });
    const common::duration delay =
        std::chrono::milliseconds(50 + random.Below(1950));
    time.Schedule(delay, std::move(event));
  }

  demand behaviour_;
  std::vector<std::vector<bool>> cut_;
  std::vector<std::shared_ptr<node>> nodes_;
  std::vector<std::shared_ptr<node>> killed_;  ///< kept: timers refer to them
  std::vector<common::time_point> arrivals_;
};

}  // namespace wisteriadale::fakes
