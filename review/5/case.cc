// BUDGET: a request that crashes the workers that run it comes again, and keeps
// on reaching workers: they go silent, and their connections end later than the
// route's timeout.
#include "../common/harness.h"

using namespace review;

namespace {

constexpr int kWorkers = 4;
constexpr int64_t kSilentMs = 2000;        // before its connections end
constexpr int64_t kBackAfterMs = 1000;     // "back after some seconds": 3 in all
constexpr int64_t kAgainEveryMs = 3000;    // the request comes again
constexpr int64_t kLengthMs = 45000;
constexpr int64_t kContactMs = 3000;
constexpr int64_t kDeadlineMs = 1500;
constexpr int kSoundRequesters = 10;       // some 20 requests a second

int Run(const setting& given) {
  store platform;
  if (!platform.Start()) return 2;
  platform.Put("op", "config",
               Manifest(7, json::array({Route("stock-look", "/stock/", "idempotent", "ordre", 800, 2)}),
                        json::array({Service("ordre")})).dump());
  std::mutex mutex;
  int crashes = 0;
  int64_t third_crash_at = -1;
  std::map<std::string, int64_t> sent_at;  // of the request that crashes workers
  std::set<std::string> reached_late;      // ids sent later than the rule allows
  const worker::runner run = [&](worker& self, stream& peer, const message& request) {
    const std::string id = request.Find("X-Wisteriadale-Request-Id");
    if (given.trouble && request.target() == "/stock/bad") {
      {
        std::lock_guard<std::mutex> lock(mutex);
        if (self.down() || self.dark()) return false;
        ++crashes;
        Record().Line("worker %s runs %s, run %d of the request", self.id().c_str(), id.c_str(), crashes);
        if (crashes == 3) third_crash_at = NowMs();
        if (third_crash_at >= 0 && sent_at[id] > third_crash_at + kContactMs) reached_late.insert(id);
      }
      self.GoDark(kSilentMs, kBackAfterMs);
      return false;
    }
    SleepMs(15);
    if (self.dark()) {
      self.WaitWhileDark();
      return false;
    }
    return peer.Write(Signed(request, 200, std::string(800, 's')));
  };
  std::vector<std::unique_ptr<worker>> workers;
  for (int i = 0; i < kWorkers; ++i) {
    workers.push_back(std::make_unique<worker>(platform, "ordre", run));
    workers.back()->Start();
  }
  std::vector<std::unique_ptr<gateway>> gateways;
  for (int i = 0; i < 2; ++i) {
    gateways.push_back(std::make_unique<gateway>("front-a-" + std::to_string(i + 1), platform,
                                                 given.temporary));
  }
  const std::vector<std::string> seeds = {"127.0.0.1:" + std::to_string(gateways[0]->links()),
                                          "127.0.0.1:" + std::to_string(gateways[1]->links())};
  for (const auto& each : gateways) each->Start(seeds);
  for (const auto& each : gateways) {
    if (!each->WaitReady()) return 2;
  }
  SleepMs(3500);  // in touch

  std::atomic<bool> done{false};
  std::atomic<int> sound{0}, served{0};
  std::vector<std::thread> requesters;
  for (int i = 0; i < kSoundRequesters; ++i) {
    requesters.emplace_back([&, i] {
      while (!done) {
        const answer got = Ask(gateways[i % 2]->callers(),
                               RequestText("GET", "/stock/" + RandomHex(4), RandomHex(16), kDeadlineMs, kKey, ""),
                               kDeadlineMs);
        ++sound;
        if (got.complete && got.status() == 200) ++served;
        SleepMs(500);
      }
    });
  }
  SleepMs(1000);
  const int64_t begin = NowMs();
  int attempts = 0;
  while (NowMs() < begin + kLengthMs) {
    const std::string id = RandomHex(16);
    {
      std::lock_guard<std::mutex> lock(mutex);
      sent_at[id] = NowMs();
    }
    const int64_t sent = NowMs();
    const answer got = Ask(gateways[attempts % 2]->callers(),
                           RequestText("GET", "/stock/bad", id, kDeadlineMs, kKey, ""), kDeadlineMs);
    Record().Line("the request comes, try %d, %s at %s: %d %s, Retry-After %s", ++attempts, id.c_str(),
                  gateways[(attempts - 1) % 2]->name().c_str(), got.status(),
                  got.complete ? got.response.body.substr(0, 60).c_str() : got.why.c_str(),
                  got.response.Find("Retry-After").c_str());
    SleepUntil(sent + kAgainEveryMs);
  }
  done = true;
  for (std::thread& each : requesters) each.join();
  std::lock_guard<std::mutex> lock(mutex);
  Record().Line("%d tries, %d runs that crashed a worker, third at %.3f s; %d of %d sound requests served",
                attempts, crashes, static_cast<double>(third_crash_at) / 1000, served.load(), sound.load());
  Record().Line("%zu of the tries that were sent later than %d ms after the third crash reached workers; three may",
                reached_late.size(), static_cast<int>(kContactMs));
  return reached_late.size() > 3 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { return RunCase(argc, argv, Run); }
