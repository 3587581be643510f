#include "load/runner.h"

#include <nlohmann/json.hpp>

#include "load/answer_check.h"

namespace wisteriadale::load {
namespace {

using nlohmann::json;

constexpr double kMsPerSecond = 1000;
constexpr double kMicrosPerMs = 1000;
constexpr double kMicrosPerSecond = 1e6;
// Timeout beyond the deadline, so that an answer that is just late still counts
// as an answer.
constexpr common::duration kTimeoutSlack = std::chrono::seconds(1);
constexpr common::duration kControlTimeout = std::chrono::seconds(5);
constexpr std::string_view kTokenEvent = "event: token";
constexpr std::string_view kDataField = "data: ";

/// @return the data field of the last event of a stream, or nothing
std::string_view LastEventData(std::string_view stream) {
  const size_t at = stream.rfind(kDataField);
  if (at == std::string_view::npos) return {};
  const std::string_view data = stream.substr(at + kDataField.size());
  return data.substr(0, data.find('\n'));
}

/// @return the concatenated text of all token events of a stream
std::string StreamedText(std::string_view stream) {
  std::string text;
  for (size_t at = stream.find(kTokenEvent); at != std::string_view::npos;
       at = stream.find(kTokenEvent, at + 1)) {
    const size_t start = stream.find(kDataField, at) + kDataField.size();
    const size_t end = stream.find('\n', start);
    if (end == std::string_view::npos) break;
    const json data =
        json::parse(stream.substr(start, end - start), nullptr, false);
    if (data.is_object()) text += data.value("text", "");
  }
  return text;
}

/// Adds the stand-in's counters to a record, or subtracts them.
/// @param sign 1 to add, -1 to subtract
void AddCounts(const std::string& counts_json, int sign, run_record* record) {
  const json counts = json::parse(counts_json, nullptr, false);
  if (!counts.is_object()) return;
  const auto add = [sign](int64_t* to, const json& from, const char* name) {
    *to += sign * from.value(name, int64_t{0});
  };
  add(&record->platform_reads, counts, "reads");
  add(&record->platform_writes, counts, "writes");
  for (const json& target : counts.value("targets", json::array())) {
    pool_cost& pool = record->pools[target.value("pool", "")];
    add(&pool.requests, target, "requests");
    add(&pool.answered, target, "answered");
    add(&pool.failed, target, "failed");
    add(&pool.abandoned, target, "abandoned");
    add(&pool.cache_hits, target, "cache_hits");
    pool.busy_seconds += sign * target.value("busy_us", 0.0) / kMicrosPerSecond;
    pool.wasted_seconds +=
        sign * target.value("wasted_us", 0.0) / kMicrosPerSecond;
  }
}

}  // namespace

/// A request in progress.
struct runner::exchange {
  size_t index = 0;
  std::string body;
  std::string received;
  double sent_ms = 0;
  double first_token_ms = -1;
};

runner::runner(const load_plan& plan, net::event_loop& loop,
               common::clock& clock)
    : plan_(plan),
      loop_(loop),
      clock_(clock),
      arrivals_(GenerateArrivals(plan)) {
  common::seeded_random random(common::SystemSeed());
  run_id_ = random.HexId();
}

runner::~runner() = default;

double runner::ElapsedMs() const {
  return static_cast<double>((clock_.Now() - start_time_).count()) /
         kMicrosPerMs;
}

void runner::Start(std::function<void()> on_end) {
  on_end_ = std::move(on_end);
  record_.samples.resize(arrivals_.size());
  unfinished_ = arrivals_.size();
  FetchCounts([this] { StartLoad(); }, -1);
}

void runner::StartLoad() {
  start_time_ = clock_.Now();
  for (const fault_step& step : plan_.steps) {
    loop_.Schedule(common::duration(static_cast<int64_t>(step.at_seconds *
                                                         kMicrosPerSecond)),
                   [this, &step] { ApplyFaultStep(step); });
  }
  SendDueRequests();
}

void runner::ApplyFaultStep(const fault_step& step) {
  if (step.faults_json.empty()) return;
  net::http_call call;
  call.method = "POST";
  call.to = plan_.platform;
  call.path = "/control/faults";
  call.body = step.faults_json;
  call.timeout = kControlTimeout;
  net::StartHttpCall(loop_, std::move(call), [](const net::http_result&) {});
}

void runner::SendDueRequests() {
  const double now_seconds = ElapsedMs() / kMsPerSecond;
  while (next_arrival_ < arrivals_.size() &&
         arrivals_[next_arrival_].at_seconds <= now_seconds) {
    Send(next_arrival_++);
  }
  if (next_arrival_ == arrivals_.size()) return;
  const double wait = arrivals_[next_arrival_].at_seconds - now_seconds;
  loop_.Schedule(
      common::duration(static_cast<int64_t>(wait * kMicrosPerSecond)),
      [this] { SendDueRequests(); });
}

void runner::Send(size_t index) {
  const request_kind& kind = plan_.kinds[arrivals_[index].kind];
  const std::shared_ptr<exchange> current = std::make_shared<exchange>();
  current->index = index;
  current->body = json{
      {"question", "request " + std::to_string(index)},
      {"seed",
       plan_.seed}}.dump();
  current->sent_ms = ElapsedMs();
  net::http_call call = kind.direct_stage.empty() ? RoutedCall(*current, index)
                                                  : DirectCall(*current, index);
  call.timeout = common::milliseconds(kind.deadline_ms) + kTimeoutSlack;
  net::StartHttpCall(
      loop_, std::move(call),
      [this, current](const net::http_result& result) {
        OnDone(current, result);
      },
      [this, current](std::string_view data) { OnChunk(current.get(), data); });
}

net::http_call runner::RoutedCall(const exchange& current, size_t index) {
  const request_kind& kind = plan_.kinds[arrivals_[index].kind];
  net::http_call call;
  call.method = "POST";
  // Round robin, as a load balancer in front of the routers does.
  call.to = plan_.routers[index % plan_.routers.size()];
  call.path = "/v1/pipelines/" + kind.pipeline + "/requests";
  call.body = current.body;
  call.headers = {
      {"authorization",
       "Bearer " + plan_.organisations[arrivals_[index].organisation].key},
      {"content-type", "application/json"},
      {"request-timeout-ms", std::to_string(kind.deadline_ms)}};
  if (kind.streamed) call.headers.push_back({"accept", "text/event-stream"});
  if (kind.needs_key) {
    call.headers.push_back(
        {"idempotency-key", run_id_ + "-" + std::to_string(index)});
  }
  return call;
}

net::http_call runner::DirectCall(const exchange& current, size_t index) const {
  const request_kind& kind = plan_.kinds[arrivals_[index].kind];
  const json input = {{"request", json::parse(current.body, nullptr, false)},
                      {"results", json::object()}};
  net::http_call call;
  call.method = "POST";
  call.to = kind.direct_targets[index % kind.direct_targets.size()];
  call.path = "/run";
  call.headers = {{"content-type", "application/json"}};
  call.body = json{
      {"attempt_id", std::to_string(index)},
      {"stage", kind.direct_stage},
      {"input",
       input}}.dump();
  return call;
}

void runner::OnChunk(exchange* current, std::string_view data) {
  current->received.append(data);
  if (current->first_token_ms >= 0) return;
  const request_kind& kind = plan_.kinds[arrivals_[current->index].kind];
  const std::string_view marker =
      kind.direct_stage.empty() ? kTokenEvent : "\"chunk\"";
  if (current->received.find(marker) == std::string::npos) return;
  current->first_token_ms =
      ElapsedMs() - arrivals_[current->index].at_seconds * kMsPerSecond;
}

void runner::OnDone(const std::shared_ptr<exchange>& current,
                    const net::http_result& result) {
  const arrival& planned = arrivals_[current->index];
  sample& outcome = record_.samples[current->index];
  outcome.planned = planned;
  outcome.answer_ms = ElapsedMs() - planned.at_seconds * kMsPerSecond;
  outcome.send_delay_ms = current->sent_ms - planned.at_seconds * kMsPerSecond;
  outcome.first_token_ms = current->first_token_ms;
  EvaluateAnswer(*current, result, &outcome);
  const int64_t deadline_ms = plan_.kinds[planned.kind].deadline_ms;
  outcome.in_time =
      outcome.complete && outcome.answer_ms <= static_cast<double>(deadline_ms);
  if (--unfinished_ == 0) FetchCounts(on_end_, 1);
}

void runner::EvaluateAnswer(const exchange& current,
                            const net::http_result& result,
                            sample* outcome) const {
  const request_kind& kind = plan_.kinds[arrivals_[current.index].kind];
  answer_check check = answer_check::kIncomplete;
  if (!kind.direct_stage.empty()) {
    const json input = {{"request", json::parse(current.body, nullptr, false)},
                        {"results", json::object()}};
    check = CheckDirectAnswer(input.dump(), current.received, kind.tokens);
  } else {
    const std::string_view text = kind.streamed && result.status == 200
                                      ? LastEventData(current.received)
                                      : std::string_view(current.received);
    check = CheckAnswer(current.body, text, kind.tokens);
    const json answer = json::parse(text, nullptr, false);
    if (answer.is_object()) {
      for (const json& stage : answer.value("stages", json::array())) {
        outcome->attempts += stage.value("attempts", 1U);
        ++outcome->stages;
      }
      if (answer.contains("error")) {
        outcome->code = answer["error"].value("name", "error");
      }
      const bool streamed_differs =
          check == answer_check::kCorrect && kind.streamed &&
          answer["result"].is_string() &&
          StreamedText(current.received) != answer["result"];
      if (streamed_differs) check = answer_check::kForeign;
    }
  }
  outcome->complete = check == answer_check::kCorrect;
  outcome->foreign = check == answer_check::kForeign;
  if (outcome->complete) {
    outcome->code = "ok";
  } else if (outcome->foreign) {
    outcome->code = "foreign_answer";
  } else if (outcome->code.empty()) {
    outcome->code =
        result.status == 0 ? "no_answer: " + result.failure : "not_whole";
  }
}

void runner::FetchCounts(std::function<void()> next, int sign) {
  net::http_call call;
  call.to = plan_.platform;
  call.path = "/control/counts";
  call.timeout = kControlTimeout;
  net::StartHttpCall(
      loop_, std::move(call),
      [this, next = std::move(next), sign](const net::http_result& result) {
        AddCounts(result.body, sign, &record_);
        next();
      });
}

}  // namespace wisteriadale::load
