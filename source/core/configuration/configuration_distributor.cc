#include "core/configuration/configuration_distributor.h"

#include <algorithm>

#include "common/digest.h"
#include "common/log.h"
#include "common/metrics.h"

namespace wisteriadale::core {
namespace {

using common::log_channel;
using common::log_level;

/// Time after which an unanswered request to a peer is repeated.
constexpr common::duration kRequestRetryDelay = std::chrono::milliseconds(500);
// Seeds that make the rendezvous orders for the two roles independent.
constexpr uint64_t kPollerSeed = 1;
constexpr uint64_t kPrimarySeed = 2;

void SortByRendezvous(std::vector<std::string>* names, uint64_t seed) {
  std::sort(names->begin(), names->end(),
            [seed](const std::string& a, const std::string& b) {
              const uint64_t hash_a = common::Hash64(a, seed);
              const uint64_t hash_b = common::Hash64(b, seed);
              return hash_a != hash_b ? hash_a < hash_b : a < b;
            });
}

}  // namespace

configuration_distributor::configuration_distributor(
    distribution_options options, configuration_store& store,
    configuration_holder& holder, control_network& network,
    common::timer_service& timers, common::clock& clock)
    : options_(std::move(options)),
      store_(store),
      holder_(holder),
      network_(network),
      timers_(timers),
      clock_(clock) {}

void configuration_distributor::Start() {
  started_ = clock_.Now();
  Poll();
}

void configuration_distributor::Poll() {
  if ((IsHeadPoller() || !ready_) && !reading_) {
    reading_ = true;
    store_.ReadHead([this](const std::optional<configuration_head>& head) {
      reading_ = false;
      OnHead(head);
    });
  }
  RequestFromPeers();
  UpdateReady();
  timers_.Schedule(options_.poll_period, [this] { Poll(); });
}

void configuration_distributor::OnHead(
    const std::optional<configuration_head>& head) {
  if (!head) return;
  const uint64_t version = head->entry.version;
  highest_known_ = std::max(highest_known_, version);
  if (version <= holder_.version()) {
    table_responded_ = true;
    UpdateReady();
    return;
  }
  store_.ReadDocument(
      head->entry.digest,
      [this, version](const std::optional<std::string>& document) {
        if (!document) return;
        table_responded_ = true;
        Adopt(*document, version, origin::kPolled);
      });
}

void configuration_distributor::OnAccepted(const std::string& document,
                                           uint64_t version) {
  Adopt(document, version, origin::kAccepted);
}

void configuration_distributor::Adopt(const std::string& document,
                                      uint64_t version, origin from) {
  const uint64_t before = holder_.version();
  if (!holder_.ReplaceIfNewer(document, version)) return;
  if (holder_.version() != before) {
    highest_known_ = std::max(highest_known_, holder_.version());
    changed_ = clock_.Now();
    agent_document_ = AgentConfigurationJson(*holder_.current());
    PushToRouters(from);
    PushToAgents();
  }
  UpdateReady();
}

std::vector<std::string> configuration_distributor::LiveRouters(
    bool own_data_centre_only) const {
  std::vector<std::string> names = {options_.name};
  for (const auto& [name, entry] : peers_) {
    if (!entry.connected) continue;
    if (own_data_centre_only && entry.data_centre != options_.data_centre) {
      continue;
    }
    names.push_back(name);
  }
  return names;
}

bool configuration_distributor::IsHeadPoller() const {
  std::vector<std::string> names = LiveRouters(true);
  SortByRendezvous(&names, kPollerSeed);
  const auto own = std::find(names.begin(), names.end(), options_.name);
  return own - names.begin() < static_cast<int64_t>(options_.head_pollers);
}

void configuration_distributor::PushToRouters(origin from) {
  std::vector<std::string> order = LiveRouters(false);
  SortByRendezvous(&order, holder_.version());
  const auto own = std::find(order.begin(), order.end(), options_.name);
  const size_t position = static_cast<size_t>(own - order.begin());
  if (from == origin::kAccepted && position != 0) SendDocument(order.front());
  if (from == origin::kPolled && position != 0) SendVersion(order.front());
  // Each router gets the document from its parent, and the version from the
  // router after its parent, in case the parent is gone.
  for (size_t child = 1; child < order.size(); ++child) {
    if (child == position) continue;
    const size_t parent = (child - 1) / options_.fan_out;
    if (parent == position) SendDocument(order[child]);
    if (parent + 1 == position) SendVersion(order[child]);
  }
}

void configuration_distributor::SendDocument(std::string_view router) {
  const std::shared_ptr<const configuration>& current = holder_.current();
  configuration_message message;
  message.version = current->version;
  message.digest = current->digest;
  message.document = current->document;
  common::Metrics().Count("wisteria_configuration_documents_sent_total");
  network_.SendToRouter(router, message);
}

void configuration_distributor::SendVersion(std::string_view router) {
  ping_message ping;
  ping.answer = true;
  ping.configuration_version = holder_.version();
  network_.SendToRouter(router, ping);
}

void configuration_distributor::OnRouterListed(std::string_view router,
                                               std::string_view data_centre) {
  peers_[std::string(router)].data_centre = data_centre;
}

void configuration_distributor::OnRouterGone(std::string_view router) {
  const auto found = peers_.find(router);
  if (found != peers_.end()) peers_.erase(found);
}

void configuration_distributor::OnRouterConnected(std::string_view router,
                                                  std::string_view data_centre,
                                                  uint64_t version) {
  peer& entry = peers_[std::string(router)];
  entry.data_centre = data_centre;
  entry.connected = true;
  entry.requested = 0;
  OnRouterVersion(router, version);
}

void configuration_distributor::OnRouterDisconnected(std::string_view router) {
  const auto found = peers_.find(router);
  if (found != peers_.end()) found->second.connected = false;
}

void configuration_distributor::OnRouterVersion(std::string_view router,
                                                uint64_t version) {
  const auto found = peers_.find(router);
  if (found == peers_.end()) return;
  found->second.reported = true;
  found->second.version = version;
  highest_known_ = std::max(highest_known_, version);
  MaybeRequest(found->first, &found->second);
  UpdateReady();
}

void configuration_distributor::RequestFromPeers() {
  for (auto& [name, entry] : peers_) MaybeRequest(name, &entry);
}

void configuration_distributor::MaybeRequest(const std::string& router,
                                             peer* source) {
  if (!source->connected || source->version <= holder_.version()) return;
  const common::time_point now = clock_.Now();
  if (source->requested >= source->version &&
      now - source->requested_at < kRequestRetryDelay) {
    return;
  }
  source->requested = source->version;
  source->requested_at = now;
  configuration_message request;
  request.version = source->version;
  network_.SendToRouter(router, request);
}

void configuration_distributor::OnConfiguration(
    std::string_view router, const configuration_message& message) {
  if (message.document.empty()) {
    if (holder_.version() >= message.version) SendDocument(router);
    return;
  }
  if (common::Sha256Hex(message.document) != message.digest) {
    common::Metrics().Count("wisteria_bad_frames_total");
    return;
  }
  Adopt(message.document, message.version, origin::kPeer);
}

void configuration_distributor::OnAgentVersion(std::string_view target,
                                               uint64_t version) {
  agent& entry = agents_[std::string(target)];
  entry.version = version;
  if (version >= holder_.version()) return;
  const common::time_point now = clock_.Now();
  const bool is_primary =
      IsPrimaryFor(target) && entry.pushed < holder_.version();
  const bool overdue = now - changed_ >= options_.agent_push_delay &&
                       now - entry.pushed_at >= options_.agent_push_delay;
  if (is_primary || overdue) PushToAgent(std::string(target), &entry);
}

void configuration_distributor::OnAgentDisconnected(std::string_view target) {
  const auto found = agents_.find(target);
  if (found != agents_.end()) agents_.erase(found);
}

bool configuration_distributor::IsPrimaryFor(std::string_view target) const {
  std::vector<std::string> names = LiveRouters(false);
  SortByRendezvous(&names, common::Hash64(target, kPrimarySeed));
  return names.front() == options_.name;
}

void configuration_distributor::PushToAgents() {
  for (auto& [target, entry] : agents_) {
    if (entry.version >= holder_.version() || !IsPrimaryFor(target)) continue;
    PushToAgent(target, &entry);
  }
}

void configuration_distributor::PushToAgent(const std::string& target,
                                            agent* to) {
  to->pushed = holder_.version();
  to->pushed_at = clock_.Now();
  configuration_message message;
  message.version = holder_.version();
  message.digest = holder_.current()->digest;
  message.document = agent_document_;
  common::Metrics().Count("wisteria_configuration_agent_parts_sent_total");
  network_.SendToAgent(target, message);
}

void configuration_distributor::UpdateReady() {
  if (ready_ || !holder_.current()) return;
  bool peers_reported = true;
  for (const auto& [name, entry] : peers_) {
    peers_reported = peers_reported && entry.reported;
  }
  const bool highest =
      table_responded_ && peers_reported && holder_.version() >= highest_known_;
  const bool timed_out = clock_.Now() - started_ >= options_.startup_timeout;
  if (!highest && !timed_out) return;
  ready_ = true;
  if (!highest) {
    common::Log(log_channel::kConfiguration, log_level::kWarning,
                "ready with version " + std::to_string(holder_.version()) +
                    " although the table or a peer did not respond");
  }
}

}  // namespace wisteriadale::core
