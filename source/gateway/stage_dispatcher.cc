#include "gateway/stage_dispatcher.h"

#include <algorithm>
#include <set>

#include "common/event_log.h"
#include "common/metrics.h"
#include "core/stages/stage_plan.h"
#include "gateway/forward_headers.h"

namespace wisteriadale::gateway {
namespace {

using common::log_event;

// Other gateways base their latency estimates on load reports up to this old,
// and on what they submitted since.
constexpr common::duration kLoadPeriod = std::chrono::milliseconds(50);
// How often ejected targets, overdue calls and expiring jobs are checked.
constexpr common::duration kDispatchPeriod = std::chrono::milliseconds(5);
// Releases within this time are sent in one call to each target.
constexpr common::duration kReleaseDelay = std::chrono::milliseconds(50);
// Delay of releases at targets that take no requests for a time.
constexpr common::duration kDeferredReleaseDelay =
    std::chrono::milliseconds(500);
// Failed releases are not retried: targets drop results by themselves after a
// few seconds.
// A response names one handle for each piece of a call.
constexpr int kStatusOk = 200;
constexpr uint64_t kMaxResponseBytes = uint64_t{1} << 20;
constexpr common::duration kReleaseTimeout = std::chrono::milliseconds(1000);

std::vector<core::piece_result> UniformResults(size_t count,
                                               core::piece_outcome outcome) {
  return std::vector<core::piece_result>(count,
                                         core::piece_result{outcome, ""});
}

void SetQueueGauges(const std::string& service,
                    const core::piece_queue& queue) {
  common::metric_registry& metrics = common::Metrics();
  metrics.Set("wisteria_stage_jobs", static_cast<double>(queue.jobs()),
              {{"service", service}});
  metrics.Set("wisteria_stage_jobs_announced",
              static_cast<double>(queue.announced_jobs()),
              {{"service", service}});
  metrics.Set("wisteria_stage_results", static_cast<double>(queue.results()),
              {{"service", service}});
}

}  // namespace

/// One call that computes a batch of pieces on a target.
class stage_dispatcher::stage_call final : public net::response_handler {
 public:
  stage_call(stage_dispatcher& owner, std::string service,
             core::piece_batch batch)
      : owner_(owner),
        service_(std::move(service)),
        batch_(std::move(batch)),
        started_(owner.clock_.Now()) {}

  const std::string& service() const { return service_; }
  const core::piece_batch& batch() const { return batch_; }
  common::time_point started() const { return started_; }
  bool overdue() const { return overdue_; }
  void SetOverdue() { overdue_ = true; }

  void Start() {
    const core::target_entry& target = batch_.target->entry;
    const std::string body =
        owner_.codec_.EncodePieces(batch_.pieces, owner_.clock_.Now());
    net::outgoing_request request;
    request.to = *net::ParseEndpoint(target.address);
    request.method = "POST";
    request.target = owner_.codec_.stage_path();
    request.headers = {{"Host", target.address},
                       {"Content-Type", "application/json"},
                       {owner_.codec_.headers().expected_target, target.id}};
    request.body = body;
    // Responses carry no request id: one left over on a reused connection could
    // not be told from the response to this call.
    request.reuse_connection = false;
    request.max_body_bytes = kMaxResponseBytes;
    request.timeout = core::piece_queue::CallTimeout(batch_);
    call_ = owner_.client_.Start(request, *this);
  }

  void OnHead(const net::message_head& head) override {
    status_ = head.status;
    not_run_ = owner_.codec_.IndicatesNotRun(
        head.status, head.Find(owner_.codec_.headers().not_run) != nullptr);
    if (owner_.codec_.IndicatesMisdirected(head.status)) return;
    owner_.crash_watch_.OnTargetAnswered(batch_.target->entry.id, started_);
    owner_.statements_.OnResponse(batch_.target->entry,
                                  StatementOf(head, owner_.codec_),
                                  batch_.pieces.front().request_id);
    ObserveLimit(head);
  }
  void OnBody(std::string_view data) override { body_.append(data); }

  void OnComplete() override {
    const size_t count = batch_.pieces.size();
    if (not_run_) {
      End(UniformResults(count, core::piece_outcome::kNotRun));
      return;
    }
    if (status_ == kStatusOk) {
      std::optional<std::vector<core::piece_result>> results =
          owner_.codec_.DecodePieces(batch_.target->entry.address, count,
                                     body_);
      if (results) {
        End(*results);
        return;
      }
    }
    End(UniformResults(count, core::piece_outcome::kLost));
  }

  void OnFailure(net::call_failure failure) override {
    failure_ = failure;
    End(UniformResults(batch_.pieces.size(), core::piece_outcome::kLost));
  }

 private:
  void ObserveLimit(const net::message_head& head) {
    core::limit_observation observation;
    observation.limit =
        RequestLimitOf(head, owner_.codec_.headers().request_limit);
    observation.sent_at = started_;
    observation.conclusive = head.status == kStatusOk;
    owner_.limits_.OnResponse(batch_.target->entry, observation,
                              batch_.pieces.front().request_id);
  }

  void End(const std::vector<core::piece_result>& results) {
    owner_.OnCallEnd(this, results, failure_);
  }

  stage_dispatcher& owner_;
  std::string service_;
  core::piece_batch batch_;
  common::time_point started_;
  std::unique_ptr<net::http1_call> call_;
  int status_ = 0;
  bool not_run_ = false;
  bool overdue_ = false;
  std::optional<net::call_failure> failure_;
  std::string body_;
};

/// One call that releases results at a target.
class stage_dispatcher::release_call final : public net::response_handler {
 public:
  release_call(stage_dispatcher& owner, std::string service,
               std::vector<std::string> handles)
      : owner_(owner),
        service_(std::move(service)),
        handles_(std::move(handles)) {}

  const std::string& service() const { return service_; }
  const std::vector<std::string>& handles() const { return handles_; }

  void Start(const std::string& address) {
    const std::string body = owner_.codec_.EncodeRelease(handles_);
    net::outgoing_request request;
    request.to = *net::ParseEndpoint(address);
    request.method = "POST";
    request.target = owner_.codec_.release_path();
    request.headers = {{"Host", address}, {"Content-Type", "application/json"}};
    request.body = body;
    request.max_body_bytes = kMaxResponseBytes;
    request.timeout = kReleaseTimeout;
    call_ = owner_.client_.Start(request, *this);
  }
  void OnHead(const net::message_head&) override {}
  void OnBody(std::string_view) override {}
  void OnComplete() override { owner_.OnReleaseEnd(this); }
  void OnFailure(net::call_failure) override {
    common::Metrics().Count("wisteria_releases_failed_total");
    owner_.OnReleaseEnd(this);
  }

 private:
  stage_dispatcher& owner_;
  std::string service_;
  std::vector<std::string> handles_;
  std::unique_ptr<net::http1_call> call_;
};

stage_dispatcher::stage_dispatcher(
    net::event_loop& loop, common::clock& clock, net::http1_client& client,
    const core::deployment_codec& codec, const core::route_holder& routes,
    core::target_directory& targets, core::gateway_retry_budget& retry_budget,
    core::target_statements& statements, core::target_limits& limits,
    core::target_slots& slots, core::crash_suspects& suspects,
    core::crash_watch& crash_watch, outcome_handler on_outcome,
    load_handler on_load)
    : loop_(loop),
      clock_(clock),
      client_(client),
      codec_(codec),
      routes_(routes),
      targets_(targets),
      retry_budget_(retry_budget),
      statements_(statements),
      limits_(limits),
      slots_(slots),
      suspects_(suspects),
      crash_watch_(crash_watch),
      on_outcome_(std::move(on_outcome)),
      on_load_(std::move(on_load)) {
  ReportLoads();
}

stage_dispatcher::~stage_dispatcher() {
  loop_.Cancel(dispatch_timer_);
  loop_.Cancel(release_timer_);
  loop_.Cancel(load_timer_);
}

core::piece_queue* stage_dispatcher::FindOrCreateQueue(
    const std::string& service) {
  const core::service_spec* spec =
      routes_.current() ? routes_.current()->FindService(service) : nullptr;
  const auto found = queues_.find(service);
  if (found != queues_.end()) {
    if (spec != nullptr && spec->batches) {
      found->second->SetSpec(*spec->batches);
    }
    return found->second.get();
  }
  if (spec == nullptr || !spec->batches) return nullptr;
  return queues_
      .emplace(service, std::make_unique<core::piece_queue>(*spec->batches,
                                                            *queue_policy_))
      .first->second.get();
}

void stage_dispatcher::Enqueue(const core::stage_job& job) {
  core::piece_queue* queue = FindOrCreateQueue(job.service);
  if (job.pieces > core::kMaxPieces) {
    Reject(job, "too many pieces");
    return;
  }
  if (queue == nullptr) {
    Reject(job, "the service does not run stages");
    return;
  }
  if (!job.digest.empty() &&
      suspects_.RemainingRefusal(job.digest).count() > 0) {
    Reject(job, "it crashes targets");
    return;
  }
  retry_budget_.OnRequest(job.service);
  core::stage_job queued = job;
  queued.isolated = !job.digest.empty() && suspects_.IsSuspect(job.digest);
  queue->Add(queued, clock_.Now());
  Dispatch(job.service, queue);
}

void stage_dispatcher::Reject(const core::stage_job& job,
                              std::string_view why) {
  common::LogEvent(log_event::kStageEnded, job.request_id,
                   {{"service", job.service},
                    {"made", false},
                    {"outcome", why},
                    {"pieces", int64_t{job.pieces}}});
  on_outcome_({job.request_id,
               job.origin,
               job.stage,
               false,
               core::piece_outcome::kError,
               {}});
}

void stage_dispatcher::Announce(const core::upcoming_stage& upcoming) {
  core::piece_queue* queue = FindOrCreateQueue(upcoming.service);
  if (queue != nullptr) queue->Announce(upcoming);
}

void stage_dispatcher::ReportLoads() {
  const common::time_point now = clock_.Now();
  for (const auto& [service, queue] : queues_) {
    queue->DropExpired(now);
    SetQueueGauges(service, *queue);
    const core::service_load load = queue->Load(targets_.Pool(service), now);
    if (load.ahead.back() == 0 && load.late_pieces == 0 &&
        queue->calls() == 0) {
      continue;
    }
    on_load_(service, load);
  }
  load_timer_ = loop_.Schedule(kLoadPeriod, [this] { ReportLoads(); });
}

void stage_dispatcher::Cancel(std::string_view request_id) {
  for (const auto& [service, queue] : queues_) {
    const std::vector<std::string> completed = queue->Cancel(request_id);
    if (!completed.empty()) Release(service, completed);
  }
}

void stage_dispatcher::CancelAllFrom(std::string_view gateway) {
  std::set<std::string> requests;
  for (const auto& [service, queue] : queues_) {
    requests.merge(queue->RequestsFrom(gateway));
  }
  for (const std::string& request : requests) Cancel(request);
}

void stage_dispatcher::Release(const std::string& service,
                               std::span<const std::string> handles) {
  if (handles.empty()) return;
  for (const std::string& handle : handles) {
    pending_releases_[{service, std::string(codec_.ProducerAddress(handle))}]
        .push_back(handle);
  }
  ScheduleReleases(kReleaseDelay);
}

void stage_dispatcher::ScheduleReleases(common::duration delay) {
  if (release_timer_ != 0) return;
  release_timer_ = loop_.Schedule(delay, [this] {
    release_timer_ = 0;
    SendReleases();
  });
}

void stage_dispatcher::SendReleases() {
  std::map<result_location, std::vector<std::string>> releases;
  releases.swap(pending_releases_);
  for (auto& [location, handles] : releases) {
    if (!net::ParseEndpoint(location.second)) continue;
    // Results expire by themselves; until then their memory is not free.
    const std::shared_ptr<core::fleet_target> target =
        targets_.AtAddress(location.second);
    // Nor does anything go to a data centre that is evacuated.
    if (target && target->evacuated) continue;
    if (target && statements_.BackOffLeft(target->entry).count() > 0) {
      pending_releases_.emplace(location, std::move(handles));
      continue;
    }
    std::unique_ptr<release_call> call = std::make_unique<release_call>(
        *this, location.first, std::move(handles));
    release_call* raw = call.get();
    releases_.emplace(raw, std::move(call));
    raw->Start(location.second);
  }
  if (!pending_releases_.empty()) ScheduleReleases(kDeferredReleaseDelay);
}

void stage_dispatcher::OnReleaseEnd(release_call* ended) {
  const auto found = releases_.find(ended);
  const std::unique_ptr<release_call> call = std::move(found->second);
  releases_.erase(found);
  core::piece_queue* queue = FindOrCreateQueue(call->service());
  if (queue == nullptr) return;
  queue->Free(call->handles(), clock_.Now());
  Dispatch(call->service(), queue);
}

bool stage_dispatcher::TryAcquireRetries(const stage_call& call) {
  std::set<std::string_view> requests;
  for (const core::piece_ref& piece : call.batch().pieces) {
    requests.insert(piece.request_id);
  }
  return std::all_of(requests.begin(), requests.end(), [&](std::string_view) {
    return retry_budget_.TryAcquire(call.service());
  });
}

void stage_dispatcher::RequeueOverdue() {
  const common::time_point now = clock_.Now();
  for (const auto& [raw, call] : calls_) {
    const common::duration took = now - call->started();
    if (call->overdue() || !core::piece_queue::IsOverdue(call->batch(), took)) {
      continue;
    }
    call->SetOverdue();
    core::piece_queue* queue = FindOrCreateQueue(call->service());
    if (queue == nullptr || !TryAcquireRetries(*call)) continue;
    common::LogEvent(log_event::kCallEnded,
                     call->batch().pieces.front().request_id,
                     {{"service", call->service()},
                      {"target", call->batch().target->entry.id},
                      {"end", "overdue"},
                      {"expected_ms", common::ToMillis(call->batch().expected)},
                      {"took_ms", common::ToMillis(took)}});
    queue->OnOverdue(call->batch(), took);
  }
}

void stage_dispatcher::DispatchAll() {
  for (const auto& [service, queue] : queues_) Dispatch(service, queue.get());
}

void stage_dispatcher::Dispatch(const std::string& service,
                                core::piece_queue* queue) {
  const common::time_point now = clock_.Now();
  ReportOutcomes(service, queue->TakeExpired(now));
  if (targets_.AllEvacuated(service)) {
    ReportOutcomes(service, queue->FailPending());
  }
  while (true) {
    std::optional<core::piece_batch> batch =
        (limits_.empty() && statements_.empty()) || queue->queued_pieces() == 0
            ? queue->Next(targets_.Pool(service), now)
            : queue->Next(SendableTargets(service), now);
    if (!batch) break;
    slots_.Use(batch->target->entry);
    StartCall(service, std::move(*batch));
  }
  if (dispatch_timer_ != 0 || (queue->queued_pieces() == 0 && calls_.empty())) {
    return;
  }
  dispatch_timer_ = loop_.Schedule(kDispatchPeriod, [this] {
    dispatch_timer_ = 0;
    RequeueOverdue();
    DispatchAll();
  });
}

core::target_directory::pool stage_dispatcher::SendableTargets(
    const std::string& service) {
  core::target_directory::pool sendable;
  for (const std::shared_ptr<core::fleet_target>& each :
       targets_.Pool(service)) {
    if (statements_.BackOffLeft(each->entry).count() > 0) continue;
    if (slots_.MaySend(each->entry)) {
      sendable.push_back(each);
    } else if (each->Usable(clock_.Now())) {
      slots_.Want(each->entry);
    }
  }
  return sendable;
}

void stage_dispatcher::StartCall(const std::string& service,
                                 core::piece_batch batch) {
  common::Metrics().Count("wisteria_stage_calls_total", {{"service", service}});
  common::Metrics().Count("wisteria_stage_pieces_total", {{"service", service}},
                          batch.pieces.size());
  std::unique_ptr<stage_call> call =
      std::make_unique<stage_call>(*this, service, std::move(batch));
  stage_call* raw = call.get();
  calls_.emplace(raw, std::move(call));
  raw->Start();
}

void stage_dispatcher::OnCallEnd(stage_call* ended,
                                 const std::vector<core::piece_result>& results,
                                 std::optional<net::call_failure> failure) {
  const auto found = calls_.find(ended);
  const std::unique_ptr<stage_call> call = std::move(found->second);
  calls_.erase(found);
  core::piece_queue* queue = FindOrCreateQueue(call->service());
  const common::time_point now = clock_.Now();
  const core::piece_batch& batch = call->batch();
  const core::piece_outcome outcome = results.front().end;
  common::Metrics().Observe("wisteria_stage_call_seconds",
                            now - call->started(),
                            {{"service", call->service()}});
  if (outcome != core::piece_outcome::kCompleted) {
    common::LogEvent(
        log_event::kCallEnded, batch.pieces.front().request_id,
        {{"service", call->service()},
         {"target", batch.target->entry.id},
         {"pieces", static_cast<int64_t>(batch.pieces.size())},
         {"end", core::ToString(outcome)},
         {"failure", failure ? net::ToString(*failure) : std::string_view()},
         {"expected_ms", common::ToMillis(batch.expected)},
         {"took_ms", common::ToMillis(now - call->started())},
         {"failures_in_row", int64_t{batch.target->consecutive_failures}}});
  }
  // Before this loss counts among those of the service's targets.
  const bool may_have_crashed =
      failure && RecordSuspectedCrash(batch, *failure);
  if (may_have_crashed) queue->Isolate(batch);
  const std::vector<core::stage_job_outcome> outcomes =
      queue->OnCallEnd(batch, results, now - call->started(), now);
  ReportOutcomes(call->service(), outcomes);
  if (may_have_crashed) FailRefused(call->service(), batch, queue);
  Dispatch(call->service(), queue);
}

bool stage_dispatcher::RecordSuspectedCrash(const core::piece_batch& batch,
                                            net::call_failure failure) {
  const bool lost = net::IndicatesLostServer(failure);
  if (!lost && failure != net::call_failure::kTimedOut) return false;
  std::set<std::string_view> told;
  for (const core::piece_ref& piece : batch.pieces) {
    if (piece.digest.empty() || !told.insert(piece.digest).second) continue;
    const core::crash_suspicion suspicion{
        piece.request_id, piece.digest, {}, 0};
    if (lost) {
      crash_watch_.OnLost(batch.target->entry, suspicion);
    } else {
      crash_watch_.OnDropped(*batch.target, suspicion);
    }
  }
  return true;
}

void stage_dispatcher::FailRefused(const std::string& service,
                                   const core::piece_batch& batch,
                                   core::piece_queue* queue) {
  for (const core::piece_ref& piece : batch.pieces) {
    if (piece.digest.empty() ||
        suspects_.RemainingRefusal(piece.digest).count() == 0) {
      continue;
    }
    ReportOutcomes(service, queue->Fail(piece.digest));
  }
}

void stage_dispatcher::ReportOutcomes(
    const std::string& service,
    const std::vector<core::stage_job_outcome>& outcomes) {
  for (const core::stage_job_outcome& outcome : outcomes) {
    if (!outcome.completed) Release(service, outcome.handles);
    const bool is_surplus_result = outcome.origin.empty();
    if (!is_surplus_result) on_outcome_(outcome);
  }
}

}  // namespace wisteriadale::gateway
