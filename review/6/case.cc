// One of four workers runs orders and fails part of them with a 503 of its own:
// it bears the worker's receipt and no X-Wisteriadale-Not-Executed. The
// requester takes a 503 for the promise that the order has not run, and orders
// again.
#include "../parts-2/stand_in.h"

using namespace play;

namespace {

constexpr int kOrders = 100;
constexpr double kFailing = 0.4;  // x of srv_grey
const text kGrey = "i-7f3a91c2";  // one of four workers fails orders
constexpr int kDeadlineMs = 1500;

std::mutex mutex;
std::map<text, int> runs;  // order -> times that it was booked
std::map<text, int> runs_by_id;
std::mt19937 chance{7};

bool run_order(worker& at, connection& with, const message& request) {
  const text id = request.get("X-Wisteriadale-Request-Id");
  bool fails = false;
  {
    const std::lock_guard<std::mutex> lock(mutex);
    ++runs[request.body];
    ++runs_by_id[id];
    fails = with_trouble && at.id() == kGrey &&
            std::uniform_real_distribution<>()(chance) < kFailing;
  }
  sleep_ms(15);
  record("%s runs %s (%s), answers %d", at.id().c_str(), id.c_str(),
         request.body.c_str(), fails ? 503 : 200);
  const text body =
      fails ? "the stock list did not answer\n" : "booked " + request.body;
  return with.send(
      text("HTTP/1.1 ") + (fails ? "503 Service Unavailable" : "200 OK") +
      "\r\nContent-Type: text/plain\r\n" + at.answer_headers(request) +
      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

void act() {
  store rows;
  std::vector<std::unique_ptr<worker>> workers;
  for (const char* id :
       {"i-7f3a91c2", "i-02d9e6b4", "i-5b1d0c3e", "i-c4410e97"}) {
    workers.push_back(std::make_unique<worker>(rows, id, "ordre", run_order));
  }
  rows.put("op", "config",
           manifest(7, route("order-book", "/bobo563/", "non_idempotent",
                             "ordre", 1500, 100, "")));
  const gateway front = start_gateway("front-vestland-a-1", rows);
  int refused_and_run = 0;
  for (int number = 1; number <= kOrders; ++number) {
    const text order = "order " + std::to_string(number);
    // One retry, as the sheet says: on a new connection, after a promise only.
    for (int attempt = 1; attempt <= 2; ++attempt) {
      const std::unique_ptr<connection> with = connection::dial(front.callers);
      if (!with) cannot_run("no connection");
      const text id = new_id();
      record("sent %s (%s)", id.c_str(), order.c_str());
      with->send(
          request_bytes("POST", "/bobo563/lo7/2f", id, kDeadlineMs, "", order));
      const message got = with->read(true, now_ms() + kDeadlineMs);
      record("answer to %s: status %d, receipt %s", id.c_str(), got.status,
             got.find("X-Wisteriadale-Response-Signature") ? "yes" : "none");
      if (got.status != 503 && got.status != 429 && got.status != 408 &&
          got.status != 421) {
        break;
      }
      const std::lock_guard<std::mutex> lock(mutex);
      if (runs_by_id[id] > 0) {
        ++refused_and_run;
        record("REFUSED: %s was answered %d and has run", id.c_str(),
               got.status);
      }
    }
  }
  int booked_twice = 0;
  for (const auto& [order, count] : runs) booked_twice += count > 1 ? 1 : 0;
  record("%d orders were booked more than once", booked_twice);
  if (refused_and_run > 0) {
    finish(1, "REFUSED: " + std::to_string(refused_and_run) +
                  " orders were answered 503 and have run; " +
                  std::to_string(booked_twice) + " were booked twice");
  }
  finish(0, "no order that has run was answered with a promise");
}

}  // namespace

int main(int count, char** arguments) {
  return play_case(count, arguments, act);
}
