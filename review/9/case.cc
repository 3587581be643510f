// A request crashes each worker that begins to run it, and comes again. After
// the third crash it is refused. All gateways are killed at once, twice: each
// time they begin to count anew.
#include "../parts-2/stand_in.h"

using namespace play;

namespace {

constexpr int64_t kContactMs = 3000;
constexpr int64_t kComesAgainMs = 2500;
constexpr int64_t kBackMs = 3000;   // a crashed worker is back: "some seconds"
constexpr int64_t kLapseMs = 3600;  // three check-in intervals of silence
constexpr int kWorkers = 8;
constexpr int kAllowed = 3;
const text kBad = "the sketch that crashes";

std::mutex mutex;
int crashes = 0;
int64_t third_ms = -1;
std::vector<int64_t> late_crashes_ms;
std::map<text, bool> reached;  // ids of the bad request that reached a worker
int sound_lost = 0;            // not served, for whatever reason
int sound_lost_late = 0;       // 502 within 100 ms after a late crash
int sound_served = 0;
std::atomic<bool> ending = false;

bool run_order(worker& at, connection& with, const message& request) {
  const text id = request.get("X-Wisteriadale-Request-Id");
  if (request.body == kBad) {
    {
      const std::lock_guard<std::mutex> lock(mutex);
      reached[id] = true;
      if (++crashes == 3) third_ms = now_ms();
      if (third_ms >= 0 && now_ms() > third_ms + kContactMs) {
        late_crashes_ms.push_back(now_ms());
      }
    }
    record("%s begins to run %s and crashes", at.id().c_str(), id.c_str());
    at.crash();
    return false;
  }
  sleep_ms(15);
  if (at.dead()) return false;
  const text body = "booked " + request.body;
  return with.send("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" +
                   at.answer_headers(request) + "Content-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body);
}

int order(const gateway& front, const text& body, text* id) {
  const std::unique_ptr<connection> with = connection::dial(front.callers);
  *id = new_id();
  if (!with) return 0;
  with->send(request_bytes("POST", "/bobo563/lo7/2f", *id, 1500, "", body));
  return with->read(true, now_ms() + 1500).status;
}

/// Keeps the workers: a crashed one loses its entry, and is back as another.
void keep_workers(store& rows) {
  static int number = 0;
  struct place {
    std::unique_ptr<worker> now;
    int64_t crashed_ms = -1;
    bool dropped = false;
  };
  static std::vector<place> places(kWorkers);
  static std::vector<std::unique_ptr<worker>> ended;
  const auto start = [&rows] {
    return std::make_unique<worker>(
        rows, "i-7f3a9" + std::to_string(100 + number++), "ordre", run_order);
  };
  for (place& each : places) each.now = start();
  std::thread([&rows, start] {
    std::vector<std::pair<int64_t, worker*>> lapsing;
    while (!ending) {
      for (place& each : places) {
        if (each.now->dead() && each.crashed_ms < 0) {
          each.crashed_ms = now_ms();
          lapsing.push_back({now_ms() + kLapseMs, each.now.get()});
        }
        if (each.crashed_ms >= 0 && now_ms() - each.crashed_ms >= kBackMs) {
          ended.push_back(std::move(each.now));
          each.now = start();
          each.crashed_ms = -1;
        }
      }
      std::erase_if(lapsing, [](const auto& each) {
        if (each.first > now_ms()) return false;
        each.second->drop_entry();
        return true;
      });
      sleep_ms(50);
    }
  }).detach();
}

void act() {
  store rows;
  keep_workers(rows);
  rows.put("op", "config",
           manifest(7, route("order-book", "/bobo563/", "non_idempotent",
                             "ordre", 1500, 100, "")));
  std::vector<gateway> fronts = {make_gateway("front-vestland-a-1"),
                                 make_gateway("front-vestland-a-2")};
  for (const gateway& each : fronts) other_seeds.push_back(each.links);
  int64_t in_touch_ms = 0;
  const auto start_all = [&] {
    for (gateway& each : fronts) start_process(&each, rows);
    for (gateway& each : fronts) wait_until_ready(each);
    in_touch_ms = now_ms() + kContactMs;
    record("both gateways are ready");
  };
  start_all();
  for (int number = 0; number < 8; ++number) {
    std::thread([&, number] {
      while (!ending) {
        text id;
        const int status = order(
            fronts[number % 2],
            "sound " + std::to_string(number) + std::to_string(now_ms()), &id);
        const int64_t end_ms = now_ms();
        const std::lock_guard<std::mutex> lock(mutex);
        (status == 200 ? sound_served : sound_lost) += 1;
        const bool at_crash =
            std::any_of(late_crashes_ms.begin(), late_crashes_ms.end(),
                        [end_ms](int64_t at) {
                          return end_ms >= at && end_ms <= at + 100;
                        });
        if (status == 502 && at_crash) {
          ++sound_lost_late;
          record("sound %s: 502 as a worker crashed", id.c_str());
        }
        mutex.unlock();
        sleep_ms(20);
        mutex.lock();
      }
    }).detach();
  }

  int late = 0;
  int turn = 0;
  const auto come = [&](int times) {
    for (int i = 0; i < times; ++i) {
      sleep_ms(std::max<int64_t>(in_touch_ms + 200 - now_ms(), 0));
      const int64_t sent_ms = now_ms();
      text id;
      const int status = order(fronts[turn++ % 2], kBad, &id);
      sleep_ms(100);
      const std::lock_guard<std::mutex> lock(mutex);
      const bool is_late = third_ms >= 0 && sent_ms > third_ms + kContactMs;
      if (is_late && reached.count(id) > 0) ++late;
      record("the request comes, %s: %d, %s%s, late ones that reached: %d",
             id.c_str(), status,
             reached.count(id) > 0 ? "reached a worker" : "reached none",
             is_late ? " (late)" : "", late);
      const int64_t next = sent_ms + kComesAgainMs;
      mutex.unlock();
      sleep_ms(next - now_ms());
      mutex.lock();
    }
  };
  come(4);
  for (int round = 0; round < 2; ++round) {
    if (with_trouble) {
      record("all gateways are killed");
      for (gateway& each : fronts) kill(each.pid, SIGKILL);
      for (gateway& each : fronts) kill_process(&each);
      sleep_ms(500);
      start_all();
    }
    come(4);
  }
  record(
      "%d crashes; sound orders: %d served, %d not, %d of these lost with a "
      "worker that crashed late",
      crashes, sound_served, sound_lost, sound_lost_late);
  ending = true;
  if (crashes < 3) cannot_run("the request did not crash three workers");
  if (late > kAllowed) {
    finish(1, "BUDGET: the request reached workers in " + std::to_string(late) +
                  " retries, later than contact-ms after its third crash; " +
                  std::to_string(crashes) + " workers crashed");
  }
  finish(0, "the request reached workers in " + std::to_string(late) +
                " late retries");
}

}  // namespace

int main(int count, char** arguments) {
  return play_case(count, arguments, act);
}
