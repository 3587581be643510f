#include "net/listen_retry.h"

#include <cerrno>
#include <cstring>
#include <thread>

#include "common/event_log.h"
#include "common/metrics.h"
#include "common/process_signals.h"

namespace wisteriadale::net {
namespace {

constexpr common::duration kPeriod = std::chrono::milliseconds(50);

/// @return whether the address may become free, or be assigned to this VM
bool IsTemporary(int error) {
  return error == EADDRINUSE || error == EADDRNOTAVAIL;
}

}  // namespace

listen_retry::listen_retry(const endpoint& at)
    : at_(at), started_(std::chrono::steady_clock::now()) {}

bool listen_retry::Wait(int error) {
  if (!IsTemporary(error)) return false;
  const bool retries = Elapsed() < kLimit && common::StopSignalCount() == 0;
  if (!logged_ || !retries) {
    common::LogEvent(
        common::log_event::kListenFailed, "",
        {{"address", FormatEndpoint(at_)},
         {"reason", std::strerror(error)},
         {"retries", retries},
         {"elapsed_ms", common::ToMillis(Elapsed())},
         {"limit_ms", common::ToMillis(common::duration(kLimit))}});
    logged_ = true;
  }
  if (!retries) return false;
  common::Metrics().Count("wisteria_listen_retries_total");
  std::this_thread::sleep_for(kPeriod);
  return true;
}

common::duration listen_retry::Elapsed() const {
  return std::chrono::duration_cast<common::duration>(
      std::chrono::steady_clock::now() - started_);
}

}  // namespace wisteriadale::net
