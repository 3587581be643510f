#include "core/limits/target_slots.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "common/event_log.h"
#include "common/metrics.h"

namespace wisteriadale::core {
namespace {

using common::log_event;

constexpr char kSlotsMetric[] = "wisteria_limit_slots_total";
// Back-offs vary by this factor to both sides, so that gateways that were
// denied together do not return together.
constexpr double kBackOffSpread = 0.5;
constexpr uint32_t kMaxDoublings = 16;

// The windows over which targets judge their limit reach back to before it was
// named by a second, and three seconds beyond. A first window may hold more
// than a later one, by a margin that a target bears.
constexpr double kFirstWindowSeconds = 3;
constexpr double kFirstWindowFactor = 1.25;
constexpr double kFirstWindowMargin = 3;

/// @param sent_before requests in the second before the limit was known
/// @return the time for which a target gets no requests then
common::duration FirstPause(double sent_before, double per_second) {
  const double allowed =
      kFirstWindowFactor * (1 + kFirstWindowSeconds) * per_second +
      kFirstWindowMargin;
  const double excess =
      sent_before + kFirstWindowSeconds * per_second - allowed;
  return common::FromSeconds(
      std::clamp(excess / per_second, 0.0, kFirstWindowSeconds));
}

common::milliseconds CeilMillis(common::duration value) {
  return std::chrono::ceil<common::milliseconds>(value);
}

}  // namespace

target_slots::target_slots(const target_slots_options& options,
                           target_limits& limits, limit_peers& peers,
                           common::clock& clock, common::timer_service& timers,
                           common::random_source& random)
    : options_(options),
      limits_(limits),
      peers_(peers),
      clock_(clock),
      timers_(timers),
      random_(random),
      owned_(clock),
      own_part_(clock) {}

target_slots::~target_slots() {
  for (const auto& [id, request] : requests_) timers_.Cancel(request.timer);
}

bool target_slots::MaySend(const target_entry& target) const {
  if (!limits_.LimitOf(target.id, target.started_ms)) return true;
  const auto found = targets_.find(target.id);
  return found != targets_.end() && !found->second.ready.empty() &&
         found->second.ready.back() > clock_.Now();
}

void target_slots::Use(const target_entry& target) {
  if (!limits_.LimitOf(target.id, target.started_ms)) {
    sends_.Note(target.id, clock_.Now());
    return;
  }
  std::vector<common::time_point>& ready = targets_[target.id].ready;
  const common::time_point now = clock_.Now();
  std::erase_if(ready,
                [now](common::time_point expires) { return expires <= now; });
  if (ready.empty()) {
    common::Metrics().Count(kSlotsMetric, {{"outcome", "overrun"}});
    return;
  }
  ready.erase(ready.begin());
  common::Metrics().Count(kSlotsMetric, {{"outcome", "used"}});
}

void target_slots::Want(const target_entry& target) {
  target_state& state = targets_[target.id];
  if (state.wanted != 0 || state.next_want > clock_.Now() || MaySend(target)) {
    return;
  }
  state.wanted = Ask(target, options_.horizon, nullptr);
}

common::duration target_slots::ExpectedDelay(const target_entry& target) const {
  const auto found = targets_.find(target.id);
  if (found == targets_.end()) return common::duration(0);
  const target_state& state = found->second;
  const common::time_point now = clock_.Now();
  if (now - state.next_free_known_at > options_.recheck_period) {
    return common::duration(0);
  }
  return std::max(state.next_free - now, common::duration(0));
}

uint64_t target_slots::Wait(const target_entry& target,
                            common::duration max_delay,
                            outcome_handler handler) {
  common::Metrics().Count("wisteria_limit_waits_total",
                          {{"service", target.service}});
  return Ask(target, std::min(max_delay, options_.horizon), std::move(handler));
}

void target_slots::CancelWait(uint64_t id) {
  const auto found = requests_.find(id);
  if (found != requests_.end()) found->second.handler = nullptr;
}

double target_slots::RateOf(const pending_request& request) const {
  // Without a limit it ended while the request was under way.
  return limits_.LimitOf(request.target, request.started_ms)
      .value_or(kMaxLimitPerSecond);
}

uint64_t target_slots::Ask(const target_entry& target,
                           common::duration max_delay,
                           outcome_handler handler) {
  const uint64_t id = ++last_id_;
  pending_request& pending = requests_[id];
  pending.target = target.id;
  pending.started_ms = target.started_ms;
  pending.owner = peers_.OwnerOf(target.id);
  pending.max_delay = max_delay;
  pending.handler = std::move(handler);
  slot_request request;
  request.id = id;
  request.target = target.id;
  request.started_ms = target.started_ms;
  request.per_second = RateOf(pending);
  request.max_delay = CeilMillis(max_delay);
  target_state& state = targets_[target.id];
  const common::time_point now = clock_.Now();
  request.reserved_for =
      CeilMillis(std::max(state.last_slot - now, common::duration(0)));
  if (now - state.limited_since < common::FromSeconds(kFirstWindowSeconds)) {
    request.sent_before = state.sent_before;
  }
  if (pending.owner == peers_.name()) {
    OnDecided(id, DecideAsOwner(pending.owner, request));
    return id;
  }
  if (!peers_.Send(pending.owner, request)) {
    ScheduleOwnPart(id, "the owner is not linked");
    return id;
  }
  pending.timer = timers_.Schedule(options_.reply_timeout, [this, id] {
    ScheduleOwnPart(id, "the owner did not reply");
  });
  return id;
}

void target_slots::ScheduleOwnPart(uint64_t id, std::string_view why) {
  const pending_request& request = requests_.at(id);
  const double part = 1.0 / static_cast<double>(peers_.expected());
  common::Metrics().Count(kSlotsMetric, {{"outcome", "without owner"}});
  common::LogEvent(log_event::kLimitOwnerLost, "",
                   {{"target", request.target},
                    {"owner", request.owner},
                    {"why", why},
                    {"part", part}});
  OnDecided(id, own_part_.Reserve(request.target, RateOf(request) * part,
                                  request.max_delay));
}

slot_reservation target_slots::DecideAsOwner(const std::string& gateway,
                                             const slot_request& request) {
  const common::duration reserved_for =
      std::clamp(common::duration(request.reserved_for), common::duration(0),
                 options_.horizon);
  if (reserved_for.count() > 0) {
    owned_.NoteReserved(request.target, clock_.Now() + reserved_for);
  }
  NoteEarlierSends(gateway, request,
                   limits_.LimitOf(request.target, request.started_ms)
                       .value_or(request.per_second));
  const size_t expected = std::max<size_t>(peers_.expected(), 1);
  const double part =
      static_cast<double>(std::min(peers_.agreeing(), expected)) /
      static_cast<double>(expected);
  const double per_second = limits_.LimitOf(request.target, request.started_ms)
                                .value_or(request.per_second);
  const slot_reservation reservation =
      owned_.Reserve(request.target, per_second * part,
                     std::clamp(common::duration(request.max_delay),
                                common::duration(0), options_.horizon));
  common::Metrics().Count(
      kSlotsMetric, {{"outcome", reservation.granted ? "granted" : "denied"}});
  common::LogEvent(log_event::kLimitSlot, "",
                   {{"target", request.target},
                    {"gateway", gateway},
                    {"per_second", per_second},
                    {"part", part},
                    {"granted", reservation.granted},
                    {"delay_ms", common::ToMillis(reservation.delay)}});
  return reservation;
}

void target_slots::NoteEarlierSends(const std::string& gateway,
                                    const slot_request& request,
                                    double per_second) {
  if (request.sent_before == 0) return;
  const common::time_point now = clock_.Now();
  earlier_sends& known = earlier_sends_[request.target];
  if (known.known_at == common::time_point{}) {
    known.known_at = now;
    known.by_gateway[peers_.name()] = targets_[request.target].sent_before;
  }
  known.by_gateway[gateway] = request.sent_before;
  uint32_t told = 0;
  for (const auto& [name, count] : known.by_gateway) told += count;
  // Those that have not told yet are taken to have sent as much as the others.
  const size_t expected = std::max(peers_.expected(), known.by_gateway.size());
  const double sent_before = static_cast<double>(told) *
                             static_cast<double>(expected) /
                             static_cast<double>(known.by_gateway.size());
  const common::duration pause = FirstPause(sent_before, per_second);
  if (pause.count() == 0) return;
  // The next slot is an interval after the latest.
  const common::duration interval =
      common::FromSeconds(std::min(1 / per_second, kFirstWindowSeconds));
  owned_.NoteReserved(request.target, known.known_at + pause - interval);
}

void target_slots::OnRequest(const std::string& gateway,
                             const slot_request& request) {
  if (!std::isfinite(request.per_second) || request.per_second <= 0) {
    common::LogEvent(log_event::kLimitInvalid, "",
                     {{"target", request.target}, {"gateway", gateway}});
    return;
  }
  slot_reply reply;
  reply.id = request.id;
  if (peers_.OwnerOf(request.target) != peers_.name()) {
    reply.verdict = slot_verdict::kNotOwner;
  } else {
    const slot_reservation reservation = DecideAsOwner(gateway, request);
    reply.verdict =
        reservation.granted ? slot_verdict::kGranted : slot_verdict::kDenied;
    reply.delay = CeilMillis(reservation.delay);
  }
  // If the link is lost, the sender schedules its own part.
  peers_.Send(gateway, reply);
}

void target_slots::OnReply(const std::string& gateway,
                           const slot_reply& reply) {
  const auto found = requests_.find(reply.id);
  if (found == requests_.end() || found->second.decided ||
      found->second.owner != gateway) {
    return;
  }
  timers_.Cancel(found->second.timer);
  if (reply.verdict == slot_verdict::kNotOwner) {
    ScheduleOwnPart(reply.id, "the gateway is not the owner");
    return;
  }
  const bool granted = reply.verdict == slot_verdict::kGranted;
  common::duration delay =
      std::max(common::duration(reply.delay), common::duration(0));
  if (granted) delay = std::min(delay, options_.horizon);
  OnDecided(reply.id, {granted, delay});
}

void target_slots::OnDecided(uint64_t id, const slot_reservation& reservation) {
  pending_request& request = requests_.at(id);
  request.decided = true;
  request.due = clock_.Now() + reservation.delay;
  target_state& state = targets_[request.target];
  state.next_free = request.due;
  state.next_free_known_at = clock_.Now();
  if (reservation.granted) {
    state.last_slot = std::max(state.last_slot, request.due);
    request.timer =
        timers_.Schedule(reservation.delay, [this, id] { OnSlotDue(id); });
    return;
  }
  // Deferred, since a request may be decided while it is made.
  request.timer = timers_.Schedule(common::duration(0),
                                   [this, id, delay = reservation.delay] {
                                     End(id, {false, delay});
                                   });
}

void target_slots::OnSlotDue(uint64_t id) {
  const pending_request& request = requests_.at(id);
  const common::time_point expires = request.due + options_.validity;
  // A VM that was suspended finds that its slots have expired.
  if (expires <= clock_.Now()) {
    End(id, {false, common::duration(0)});
    return;
  }
  targets_[request.target].ready.push_back(expires);
  End(id, {true, common::duration(0)});
}

void target_slots::End(uint64_t id, const slot_outcome& outcome) {
  const auto found = requests_.find(id);
  const pending_request ended = std::move(found->second);
  requests_.erase(found);
  const auto state = targets_.find(ended.target);
  if (state != targets_.end()) {
    if (outcome.granted) {
      state->second.denials = 0;
    } else if (state->second.wanted == id) {
      BackOff(&state->second, outcome.delay);
    }
    if (state->second.wanted == id) state->second.wanted = 0;
  }
  if (ended.handler) ended.handler(outcome);
}

void target_slots::BackOff(target_state* state, common::duration delay) {
  const common::time_point now = clock_.Now();
  const double factor = 1 + kBackOffSpread * (2 * random_.Uniform() - 1);
  // The first pause is no sign that others take the slots.
  if (now - state->limited_since < common::FromSeconds(kFirstWindowSeconds)) {
    state->next_want =
        now + std::max(options_.min_back_off, delay - options_.horizon) +
        common::duration(static_cast<int64_t>(
            factor * static_cast<double>(options_.min_back_off.count())));
    return;
  }
  const common::duration longest = std::min(
      options_.min_back_off * (1 << std::min(state->denials, kMaxDoublings)),
      options_.max_back_off);
  state->denials += 1;
  state->next_want = now + common::duration(static_cast<int64_t>(
                               factor * static_cast<double>(longest.count())));
}

void target_slots::OnLimitBegun(const std::string& target) {
  target_state& state = targets_[target];
  state.limited_since = clock_.Now();
  state.sent_before = sends_.Count(target, state.limited_since);
}

void target_slots::OnLimitEnded(const std::string& target) {
  owned_.Forget(target);
  own_part_.Forget(target);
  earlier_sends_.erase(target);
  targets_.erase(target);
  for (auto& [id, request] : requests_) {
    if (request.target != target) continue;
    timers_.Cancel(request.timer);
    request.decided = true;
    request.timer = timers_.Schedule(common::duration(0), [this, id = id] {
      End(id, {true, common::duration(0)});
    });
  }
}

}  // namespace wisteriadale::core
