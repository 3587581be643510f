// A stop by SIGTERM while streams run on kept connections. As each of them ends
// on time, its requester sends the next request on that connection at once, as
// nothing told it that the connection would close.
#include "../parts-2/stand_in.h"

using namespace play;

namespace {

constexpr int kRequesters = 6;
constexpr int64_t kGraceMs = 8000;
constexpr int64_t kExcusedMs = 3000;  // sent no later: may be cut at the end
constexpr int64_t kNotesMs =
    5200;  // length of the streams that run at the stop
constexpr int64_t kSigtermMs = 900;  // after these were sent
constexpr int64_t kEventMs = 120;    // the sheet allows pauses of 150 ms
constexpr int kUsualEvents = 8;      // mean of care-answer
constexpr int kManyEvents = 30;      // its largest

std::mutex mutex;
std::map<text, int64_t> last_worked;  // id -> when its worker made an event
std::map<text, text> run_ends;        // id -> how its run ended

/// Streams as many events as the prompt's output tokens ask for.
bool run_stream(worker& at, connection& with, const message& request) {
  const text id = request.get("X-Wisteriadale-Request-Id");
  const text usage = request.get("X-Wisteriadale-Token-Usage");
  const int events = std::atoi(usage.c_str() + usage.find(',') + 1) / 3;
  record("%s runs %s, %d events", at.id().c_str(), id.c_str(), events);
  if (!with.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
                 at.answer_headers(request) +
                 "Transfer-Encoding: chunked\r\n\r\n")) {
    return false;
  }
  for (int number = 1; number <= events; ++number) {
    sleep_ms(kEventMs);
    {
      const std::lock_guard<std::mutex> lock(mutex);
      last_worked[id] = now_ms();
    }
    if (with.peer_left()) {
      record("%s: %s is dropped at event %d of %d: its connection was closed",
             at.id().c_str(), id.c_str(), number, events);
      const std::lock_guard<std::mutex> lock(mutex);
      run_ends[id] = "dropped";
      return false;
    }
    const text event =
        "id: " + std::to_string(number) + "\ndata: part of " + id + "\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    if (!with.send(size + event + "\r\n")) return false;
  }
  const std::lock_guard<std::mutex> lock(mutex);
  run_ends[id] = "whole";
  return with.send("0\r\n\r\n");
}

struct answer {
  text id;
  int64_t sent_ms = 0;
  message got;
};

answer ask(connection& with, const text& path, int events, int deadline_ms) {
  answer result;
  result.id = new_id();
  const text more =
      "X-Wisteriadale-Model: m\r\nX-Wisteriadale-Token-Usage: 1460," +
      std::to_string(3 * events) +
      "\r\nX-Wisteriadale-Prompt-Prefix: 5c1e07a2:800,e4402b7d:660\r\n";
  result.sent_ms = now_ms();
  record("sent %s %s, %d events", result.id.c_str(), path.c_str(), events);
  if (!with.send(request_bytes("POST", path, result.id, deadline_ms, more,
                               "sketch"))) {
    result.got.ended = "reset";
  } else {
    result.got = with.read(true, now_ms() + deadline_ms);
  }
  record("answer to %s: status %d, %zu bytes, %s%s", result.id.c_str(),
         result.got.status, result.got.body.size(),
         result.got.complete ? "complete" : "NOT complete, connection ",
         result.got.complete ? "" : result.got.ended.c_str());
  return result;
}

void act() {
  store rows;
  std::vector<std::unique_ptr<worker>> workers;
  for (const char* id : {"i-7f3a91c2", "i-02d9e6b4", "i-5b1d0c3e"}) {
    workers.push_back(
        std::make_unique<worker>(rows, id, "modellverk", run_stream));
  }
  rows.put(
      "op", "config",
      manifest(7,
               route("weld-note", "/bobo563/", "streaming", "modellverk", 15000,
                     1300, ",\"target-gap-ms\":150") +
                   "," +
                   route("care-answer", "/puxa400/", "streaming", "modellverk",
                         6000, 1300, ",\"target-gap-ms\":150")));
  const gateway front = start_gateway("front-vestland-a-1", rows);

  // What care answers usually take.
  const std::unique_ptr<connection> first = connection::dial(front.callers);
  if (!first) cannot_run("no connection");
  for (int i = 0; i < 3; ++i) {
    if (!ask(*first, "/puxa400/2f", kUsualEvents, 6000).got.complete) {
      cannot_run("a care answer before the stop is not whole");
    }
  }
  std::vector<answer> later(kRequesters);
  std::vector<bool> notes_whole(kRequesters);
  std::vector<text> told(kRequesters);
  std::vector<std::thread> requesters;
  for (int i = 0; i < kRequesters; ++i) {
    requesters.emplace_back([&, i] {
      const std::unique_ptr<connection> kept = connection::dial(front.callers);
      if (!kept) return;
      const answer note = ask(*kept, "/bobo563/2f",
                              static_cast<int>(kNotesMs / kEventMs), 15000);
      notes_whole[i] = note.got.complete;
      told[i] = note.got.get("Connection");
      if (note.got.complete && told[i].empty()) {
        later[i] = ask(*kept, "/puxa400/2f", kManyEvents, 6000);
      }
    });
  }
  sleep_ms(kSigtermMs);
  const int64_t term_ms = now_ms();
  if (with_trouble) {
    record("SIGTERM to %s", front.name.c_str());
    kill(front.pid, SIGTERM);
  }
  for (std::thread& each : requesters) each.join();
  int lost = 0;
  int judged = 0;
  std::unique_lock<std::mutex> lock(mutex);
  for (int i = 0; i < kRequesters; ++i) {
    if (!notes_whole[i]) cannot_run("a weld note is not whole");
    const answer& each = later[i];
    if (each.id.empty() || last_worked.count(each.id) == 0) continue;
    ++judged;
    if (each.got.complete) continue;
    const int64_t sent_after = each.sent_ms - term_ms;
    const int64_t ended_after = each.got.end_ms - term_ms;
    const bool excused = with_trouble && sent_after <= kExcusedMs;
    const bool planned = with_trouble && ended_after <= kGraceMs + 1000;
    const bool in_time = each.got.end_ms - each.sent_ms < 6000;
    record("%s: sent %.3f s after SIGTERM, ended %.3f s after it, %s",
           each.id.c_str(), static_cast<double>(sent_after) / 1000,
           static_cast<double>(ended_after) / 1000,
           excused || !in_time ? "excused" : "LOST");
    if (!excused && in_time && (planned || !with_trouble)) ++lost;
  }
  record("%d requests reached a worker after a kept connection's stream ended",
         judged);
  if (lost > 0)
    finish(1, "LOST: " + std::to_string(lost) + " of " +
                  std::to_string(judged) +
                  " requests that were passed on got no complete answer");
  if (!with_trouble && judged < kRequesters)
    cannot_run("requests did not reach a worker");
  finish(0, "no request that was passed on lost its answer");
}

}  // namespace

int main(int count, char** arguments) {
  return play_case(count, arguments, act);
}
