#include "core/operations/rate_limited_table.h"

#include <algorithm>
#include <string>
#include <utility>

#include "common/metrics.h"

namespace wisteriadale::core {
namespace {

constexpr uint32_t kMaxDoublings = 16;

std::string_view NameOf(table_priority priority) {
  constexpr std::string_view kNames[] = {"operations", "configuration",
                                         "other"};
  return kNames[static_cast<int>(priority)];
}

void CountCall(std::string_view kind, table_priority priority, bool allowed) {
  common::Metrics().Count(
      allowed ? "wisteria_table_calls_total" : "wisteria_table_refused_total",
      {{"kind", kind}, {"priority", NameOf(priority)}});
}

table_result RefusedResult(std::string_view key) {
  table_result answer;
  answer.status = table_status::kRefused;
  answer.row.key = key;
  return answer;
}

}  // namespace

bool token_bucket::TryAcquire(common::time_point now, double reserved) {
  const double elapsed =
      std::chrono::duration<double>(now - last_refill_).count();
  last_refill_ = now;
  tokens_ = std::min(capacity_, tokens_ + elapsed * per_second_);
  if (tokens_ - 1 < reserved * capacity_) return false;
  tokens_ -= 1;
  return true;
}

rate_limited_table::rate_limited_table(table& inner,
                                       const table_rate_limit& rate_limit,
                                       common::clock& clock,
                                       common::timer_service& timers,
                                       common::random_source& random)
    : inner_(inner),
      rate_limit_(rate_limit),
      clock_(clock),
      timers_(timers),
      random_(random),
      reads_(rate_limit.reads_per_second, rate_limit.burst_seconds,
             clock.Now()),
      writes_(rate_limit.writes_per_second, rate_limit.burst_seconds,
              clock.Now()) {}

double rate_limited_table::ReservedForHigher(table_priority priority) const {
  switch (priority) {
    case table_priority::kOperations:
      return 0;
    case table_priority::kConfiguration:
      return rate_limit_.reserved_for_operations;
    case table_priority::kOther:
      return rate_limit_.reserved_for_operations +
             rate_limit_.reserved_for_configuration;
  }
  return 0;
}

common::duration rate_limited_table::Backoff() {
  if (failures_ == 0) return common::duration(0);
  const uint32_t doublings = std::min(failures_ - 1, kMaxDoublings);
  const common::duration max_delay =
      std::min(rate_limit_.max_backoff,
               rate_limit_.initial_backoff * (int64_t{1} << doublings));
  // Full jitter, so that processes that failed together do not retry together.
  const double share = random_.Uniform();
  return common::duration(
      static_cast<int64_t>(share * static_cast<double>(max_delay.count())));
}

void rate_limited_table::Submit(std::function<void()> send) {
  const common::duration delay = Backoff();
  if (delay.count() == 0) {
    send();
  } else {
    timers_.Schedule(delay, std::move(send));
  }
}

void rate_limited_table::OnAnswer(table_status status) {
  if (status != table_status::kUnavailable) {
    failures_ = 0;
    return;
  }
  ++failures_;
  common::Metrics().Count("wisteria_table_failures_total");
}

void rate_limited_table::Read(std::string_view key, table_priority priority,
                              table_handler handler) {
  const bool allowed =
      reads_.TryAcquire(clock_.Now(), ReservedForHigher(priority));
  CountCall("read", priority, allowed);
  if (!allowed) {
    timers_.Schedule(common::duration(0),
                     [answer = RefusedResult(key),
                      handler = std::move(handler)] { handler(answer); });
    return;
  }
  Submit(
      [this, key = std::string(key), priority, handler = std::move(handler)] {
        inner_.Read(key, priority, [this, handler](const table_result& answer) {
          OnAnswer(answer.status);
          handler(answer);
        });
      });
}

void rate_limited_table::Write(std::string_view key, uint64_t expected_version,
                               std::string_view value, table_priority priority,
                               table_handler handler) {
  const bool allowed =
      writes_.TryAcquire(clock_.Now(), ReservedForHigher(priority));
  CountCall("write", priority, allowed);
  if (!allowed) {
    timers_.Schedule(common::duration(0),
                     [answer = RefusedResult(key),
                      handler = std::move(handler)] { handler(answer); });
    return;
  }
  Submit([this, key = std::string(key), expected_version,
          value = std::string(value), priority, handler = std::move(handler)] {
    inner_.Write(key, expected_version, value, priority,
                 [this, handler](const table_result& answer) {
                   OnAnswer(answer.status);
                   handler(answer);
                 });
  });
}

void rate_limited_table::WriteBatch(const std::vector<table_write>& writes,
                                    table_priority priority,
                                    table_batch_handler handler) {
  // A batch is one call to the service, whatever the number of rows.
  const bool allowed =
      writes_.TryAcquire(clock_.Now(), ReservedForHigher(priority));
  CountCall("batch", priority, allowed);
  if (!allowed) {
    std::vector<table_result> refused;
    refused.reserve(writes.size());
    for (const table_write& write : writes) {
      refused.push_back(RefusedResult(write.key));
    }
    timers_.Schedule(
        common::duration(0),
        [refused, handler = std::move(handler)] { handler(refused); });
    return;
  }
  Submit([this, writes, priority, handler = std::move(handler)] {
    inner_.WriteBatch(
        writes, priority,
        [this, handler](const std::vector<table_result>& answers) {
          if (!answers.empty()) OnAnswer(answers.front().status);
          handler(answers);
        });
  });
}

void rate_limited_table::List(std::string_view prefix, uint32_t limit,
                              table_priority priority,
                              table_list_handler handler) {
  ListAfter(prefix, "", limit, priority, std::move(handler));
}

void rate_limited_table::ListAfter(std::string_view prefix,
                                   std::string_view after, uint32_t limit,
                                   table_priority priority,
                                   table_list_handler handler) {
  const bool allowed =
      reads_.TryAcquire(clock_.Now(), ReservedForHigher(priority));
  CountCall("list", priority, allowed);
  if (!allowed) {
    table_list_result refused;
    refused.status = table_status::kRefused;
    timers_.Schedule(
        common::duration(0),
        [refused, handler = std::move(handler)] { handler(refused); });
    return;
  }
  Submit([this, prefix = std::string(prefix), after = std::string(after), limit,
          priority, handler = std::move(handler)] {
    inner_.ListAfter(prefix, after, limit, priority,
                     [this, handler](const table_list_result& answer) {
                       OnAnswer(answer.status);
                       handler(answer);
                     });
  });
}

}  // namespace wisteriadale::core
