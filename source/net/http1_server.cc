#include "net/http1_server.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "common/metrics.h"
#include "net/http1_connection.h"

namespace wisteriadale::net {
namespace {

// How often connections are checked for timeouts, which are in seconds.
constexpr common::duration kTimeoutCheckPeriod = std::chrono::milliseconds(250);

}  // namespace

std::unique_ptr<http1_server> http1_server::Create(
    event_loop& loop, common::clock& clock, const endpoint& at,
    const http1_server_limits& limits, handler on_request) {
  std::unique_ptr<http1_server> server(
      new http1_server(loop, clock, limits, std::move(on_request)));
  http1_server* raw = server.get();
  server->listener_ = tcp_listener::CreateForDescriptors(
      loop, at, [raw](int fd, std::string peer) {
        std::unique_ptr<tcp_stream> stream =
            tcp_stream::Adopt(raw->loop_, fd, std::move(peer), raw->tls_.get());
        if (stream) raw->Accept(std::move(stream));
      });
  if (!server->listener_) return nullptr;
  server->port_ = server->listener_->port();
  server->CheckConnections();
  return server;
}

http1_server::~http1_server() {
  loop_.Cancel(check_timer_);
  for (const auto& [raw, open] : connections_) open->Detach();
}

void http1_server::Accept(std::unique_ptr<tcp_stream> stream) {
  if (connections_.size() >= max_connections_ && !CloseLongestIdle()) {
    common::Metrics().Count("wisteria_connections_rejected_total");
    stream->CloseNow();
    return;
  }
  const std::shared_ptr<connection> accepted =
      std::make_shared<connection>(*this, std::move(stream));
  connections_.emplace(accepted.get(), accepted);
}

bool http1_server::CloseLongestIdle() {
  const common::time_point now = clock_.Now();
  std::shared_ptr<connection> chosen;
  for (const auto& [raw, open] : connections_) {
    if (chosen && open->Worth() >= chosen->Worth()) continue;
    if (open->Replaceable(now)) chosen = open;
  }
  if (!chosen) return false;
  common::Metrics().Count("wisteria_connections_replaced_total");
  chosen->Replace();
  return true;
}

void http1_server::CheckConnections() {
  const common::time_point now = clock_.Now();
  std::vector<std::shared_ptr<connection>> open;
  open.reserve(connections_.size());
  for (const auto& [raw, kept] : connections_) open.push_back(kept);
  for (const std::shared_ptr<connection>& each : open) each->CheckTimeouts(now);
  closing_responses_.Check(now);
  if (account_ != nullptr) account_->MakeRoom();
  check_timer_ =
      loop_.Schedule(kTimeoutCheckPeriod, [this] { CheckConnections(); });
}

void http1_server::CloseIdle() {
  const common::time_point now = clock_.Now();
  std::vector<std::shared_ptr<connection>> idle;
  for (const auto& [raw, kept] : connections_) {
    if (!kept->Active(now)) idle.push_back(kept);
  }
  for (const std::shared_ptr<connection>& each : idle) each->Drop();
}

size_t http1_server::ActiveRequests() const {
  const common::time_point now = clock_.Now();
  return static_cast<size_t>(std::count_if(
      connections_.begin(), connections_.end(),
      [now](const auto& kept) { return kept.second->Active(now); }));
}

undelivered_responses http1_server::Undelivered() const {
  undelivered_responses result;
  const auto add = [&result](const owed_bytes& owed) {
    if (owed.total() > 0) ++result.connections;
    result.bytes += owed.total();
  };
  for (const auto& [raw, open] : connections_) add(open->Owed());
  for (const tcp_stream::observer& each : closing_responses_.Streams()) {
    add(each.Owed());
  }
  return result;
}

void http1_server::ReportGivenUp() const {
  for (const auto& [raw, open] : connections_) open->ReportGivenUp();
  for (const tcp_stream::observer& each : closing_responses_.Streams()) {
    each.ReportGivenUp();
  }
}

}  // namespace wisteriadale::net
