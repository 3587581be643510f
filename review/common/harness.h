// Stand-ins for the scripts of this review: the platform's store, workers,
// requesters, and the start of gateway processes with the deploy file's command.
// One thread for each connection, blocking sockets, loopback only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using nlohmann::json;

inline int64_t NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}
inline int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}
inline void SleepUntil(int64_t ms) {
  const int64_t left = ms - NowMs();
  if (left > 0) SleepMs(left);
}

/// The record of a run: what was sent, answered and run.
class recorder {
 public:
  void Open(const std::string& path) { file_ = std::fopen(path.c_str(), "a"); }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard<std::mutex> lock(mutex_);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%8.3f s  ", static_cast<double>(NowMs()) / 1000);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  FILE* file_ = nullptr;
};
inline recorder& Record() {
  static recorder instance;
  return instance;
}

inline std::string RandomHex(size_t length) {
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  std::lock_guard<std::mutex> lock(mutex);
  std::string text;
  while (text.size() < length) text.push_back("0123456789abcdef"[random() % 16]);
  return text;
}

inline std::string Lower(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(c));
  return text;
}

using header_list = std::vector<std::pair<std::string, std::string>>;

struct message {
  std::string start;  ///< start line
  header_list headers;
  std::string body;
  std::string Find(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (Lower(key) == Lower(name)) return value;
    }
    return "";
  }
  bool Has(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (Lower(key) == Lower(name)) return true;
    }
    return false;
  }
  std::string method() const { return start.substr(0, start.find(' ')); }
  std::string target() const {
    const size_t from = start.find(' ') + 1;
    return start.substr(from, start.find(' ', from) - from);
  }
  int status() const {
    return start.size() < 12 ? 0 : std::atoi(start.c_str() + 9);
  }
};

/// A socket with a read buffer. Reads may be paced.
class stream {
 public:
  explicit stream(int fd) : fd_(fd) {}
  ~stream() { Close(); }
  stream(const stream&) = delete;
  stream& operator=(const stream&) = delete;
  int fd() const { return fd_; }
  void Close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  bool Write(const std::string& data) {
    size_t sent = 0;
    while (sent < data.size()) {
      const ssize_t n =
          send(fd_, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return false;
      sent += static_cast<size_t>(n);
    }
    return true;
  }
  /// @return bytes read; 0: closed; -1: reset; -2: timed out
  int Fill(int64_t deadline_ms) {
    while (true) {
      const int64_t left = deadline_ms - NowMs();
      if (left <= 0) return -2;
      pollfd poll_fd{fd_, POLLIN, 0};
      const int ready = poll(&poll_fd, 1, static_cast<int>(left));
      if (ready < 0 && errno == EINTR) continue;
      if (ready == 0) return -2;
      char chunk[16384];
      size_t most = sizeof(chunk);
      if (bytes_per_s > 0) {
        // Reads what the pace has allowed since the last read.
        SleepMs(10);
        most = std::min<size_t>(most, std::max<size_t>(1, bytes_per_s / 100));
      }
      const ssize_t n = recv(fd_, chunk, most, 0);
      if (n < 0 && errno == EINTR) continue;
      if (n < 0) return -1;
      buffer.append(chunk, static_cast<size_t>(n));
      return static_cast<int>(n);
    }
  }
  std::string buffer;
  size_t bytes_per_s = 0;  ///< 0: no pace

 private:
  int fd_;
};

/// Reads a head. @return whether it is complete
inline bool ReadHead(stream& from, message* head, int64_t deadline_ms,
                     std::string* why) {
  while (true) {
    const size_t end = from.buffer.find("\r\n\r\n");
    if (end != std::string::npos) {
      const std::string text = from.buffer.substr(0, end);
      from.buffer.erase(0, end + 4);
      size_t at = text.find("\r\n");
      head->start = text.substr(0, at);
      while (at != std::string::npos) {
        const size_t next = text.find("\r\n", at + 2);
        const std::string line = text.substr(at + 2, next == std::string::npos
                                                         ? std::string::npos
                                                         : next - at - 2);
        const size_t colon = line.find(':');
        if (colon != std::string::npos) {
          size_t value = colon + 1;
          while (value < line.size() && line[value] == ' ') ++value;
          head->headers.emplace_back(line.substr(0, colon), line.substr(value));
        }
        at = next;
      }
      return true;
    }
    const int n = from.Fill(deadline_ms);
    if (n <= 0) {
      *why = n == 0 ? "closed" : n == -1 ? "reset" : "timed out";
      return false;
    }
  }
}

/// Reads a body. @return whether it is complete by its framing
inline bool ReadBody(stream& from, message* of, bool is_response,
                     int64_t deadline_ms, std::string* why) {
  const auto need = [&](size_t size) {
    while (from.buffer.size() < size) {
      const int n = from.Fill(deadline_ms);
      if (n <= 0) {
        *why = n == 0 ? "closed" : n == -1 ? "reset" : "timed out";
        return false;
      }
    }
    return true;
  };
  if (Lower(of->Find("Transfer-Encoding")) == "chunked") {
    while (true) {
      size_t end;
      while ((end = from.buffer.find("\r\n")) == std::string::npos) {
        if (!need(from.buffer.size() + 1)) return false;
      }
      const size_t size = std::strtoul(from.buffer.c_str(), nullptr, 16);
      from.buffer.erase(0, end + 2);
      if (!need(size + 2)) return false;
      of->body.append(from.buffer, 0, size);
      from.buffer.erase(0, size + 2);
      if (size == 0) return true;
    }
  }
  if (of->Has("Content-Length")) {
    const size_t size = std::strtoul(of->Find("Content-Length").c_str(), nullptr, 10);
    const bool whole = need(size);
    const size_t taken = std::min(size, from.buffer.size());
    of->body = from.buffer.substr(0, taken);
    from.buffer.erase(0, taken);
    return whole;
  }
  if (!is_response) return true;
  while (true) {
    const int n = from.Fill(deadline_ms);
    if (n > 0) continue;
    of->body = std::exchange(from.buffer, {});
    if (n == 0) return true;
    *why = n == -1 ? "reset" : "timed out";
    return false;
  }
}

inline sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// Ports below the ephemeral range, so that outgoing connections take none.
inline uint16_t FreePort() {
  static std::mutex mutex;
  static std::mt19937 random(static_cast<unsigned>(getpid()));
  std::lock_guard<std::mutex> lock(mutex);
  for (int i = 0; i < 1000; ++i) {
    const uint16_t port = static_cast<uint16_t>(12000 + random() % 18000);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    const bool free = bind(fd, reinterpret_cast<const sockaddr*>(&address),
                           sizeof(address)) == 0;
    ::close(fd);
    if (free) return port;
  }
  return 0;
}

/// An HTTP server. `handler` gets each request and writes the response itself;
/// it returns whether the connection is kept.
class http_server {
 public:
  using handler = std::function<bool(stream&, const message&)>;

  http_server(uint16_t port, handler on_request)
      : port_(port), on_request_(std::move(on_request)) {}
  ~http_server() { Stop(); }
  uint16_t port() const { return port_; }

  bool Start() {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = Loopback(port_);
    if (bind(listener_, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(listener_, 512) != 0) {
      return false;
    }
    running_ = true;
    accepting_ = std::thread([this] { Accept(); });
    return true;
  }
  /// Closes the listener and all connections, as the end of a process does.
  void Stop() {
    if (!running_.exchange(false)) return;
    accepting_.join();
    ::close(listener_);
    std::unique_lock<std::mutex> lock(mutex_);
    for (const int fd : open_) shutdown(fd, SHUT_RDWR);
    ended_.wait_for(lock, std::chrono::seconds(10), [this] { return open_.empty(); });
  }
  /// As Stop, but may be called from a handler: does not wait.
  void Crash() {
    crashed_ = true;
    std::lock_guard<std::mutex> lock(mutex_);
    for (const int fd : open_) shutdown(fd, SHUT_RDWR);
  }
  bool crashed() const { return crashed_; }

 private:
  void Accept() {
    while (running_) {
      pollfd waiting{listener_, POLLIN, 0};
      if (poll(&waiting, 1, 10) <= 0) continue;
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      {
        std::lock_guard<std::mutex> lock(mutex_);
        open_.insert(fd);
      }
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }
  void Serve(int fd) {
    {
      stream peer(::dup(fd));
      fcntl(peer.fd(), F_SETFD, FD_CLOEXEC);
      while (running_ && !crashed_) {
        message request;
        std::string why;
        const int64_t deadline = NowMs() + 120000;
        if (!ReadHead(peer, &request, deadline, &why) ||
            !ReadBody(peer, &request, false, deadline, &why)) {
          break;
        }
        if (crashed_ || !on_request_(peer, request)) break;
      }
    }
    std::lock_guard<std::mutex> lock(mutex_);
    shutdown(fd, SHUT_RDWR);
    ::close(fd);
    open_.erase(fd);
    ended_.notify_all();
  }

  uint16_t port_;
  handler on_request_;
  int listener_ = -1;
  std::atomic<bool> running_{false};
  std::atomic<bool> crashed_{false};
  std::thread accepting_;
  std::mutex mutex_;
  std::condition_variable ended_;
  std::set<int> open_;
};

inline std::string Response(int status, const header_list& headers,
                            const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

inline std::string Base64(const std::string& data) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < data.size(); i += 3) {
    uint32_t bits = 0;
    for (size_t j = 0; j < 3; ++j) {
      bits = bits << 8 | (i + j < data.size() ? static_cast<uint8_t>(data[i + j]) : 0);
    }
    for (size_t j = 0; j < 4; ++j) {
      text.push_back(i + j <= data.size() ? kDigits[bits >> (18 - 6 * j) & 63] : '=');
    }
  }
  return text;
}

/// The platform's metadata store: rows, a feed of changes, transactions.
class store {
 public:
  store() : server_(FreePort(), [this](stream& peer, const message& request) {
              return Handle(peer, request);
            }) {}
  bool Start() { return server_.Start(); }
  uint16_t port() const { return server_.port(); }

  void Put(const std::string& table, const std::string& key,
           const std::string& value) {
    std::lock_guard<std::mutex> lock(mutex_);
    Write(table, key, Base64(value), false);
    changed_.notify_all();
  }
  void Remove(const std::string& table, const std::string& key) {
    std::lock_guard<std::mutex> lock(mutex_);
    if (!rows_[table].contains(key)) return;
    Write(table, key, "", true);
    changed_.notify_all();
  }

 private:
  struct row {
    std::string value;
    uint64_t version;
    bool removed;
  };
  void Write(const std::string& table, const std::string& key,
             const std::string& value, bool removed) {
    rows_[table][key] = {value, ++version_, removed};
  }
  static std::map<std::string, std::string> Query(const std::string& target) {
    std::map<std::string, std::string> query;
    size_t at = target.find('?');
    while (at != std::string::npos) {
      const size_t next = target.find('&', at + 1);
      const std::string pair =
          target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
      const size_t equals = pair.find('=');
      if (equals != std::string::npos) {
        std::string value;
        for (size_t i = equals + 1; i < pair.size(); ++i) {
          if (pair[i] == '%' && i + 2 < pair.size()) {
            value.push_back(static_cast<char>(
                std::stoi(pair.substr(i + 1, 2), nullptr, 16)));
            i += 2;
          } else {
            value.push_back(pair[i]);
          }
        }
        query[pair.substr(0, equals)] = value;
      }
      at = next;
    }
    return query;
  }
  json RowJson(const std::string& table, const std::string& key, const row& of) {
    json made = {{"table", table}, {"part", ""}, {"key", key},
                 {"row-version", of.version}};
    if (of.removed) made["tombstone"] = true;
    else made["value"] = of.value;
    return made;
  }
  bool Handle(stream& peer, const message& request) {
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    std::map<std::string, std::string> query = Query(target);
    SleepMs(4);
    std::unique_lock<std::mutex> lock(mutex_);
    json answer = {{"rows", json::array()}};
    if (path == "/v1/rows-get") {
      for (const auto& [key, each] : rows_[query["table"]]) {
        if (!each.removed && key >= query["from"]) {
          answer["rows"].push_back(RowJson(query["table"], key, each));
        }
      }
      answer["truncated"] = false;
    } else if (path == "/v1/rows-feed") {
      const uint64_t after = std::stoull(query["after"]);
      const auto until = std::chrono::steady_clock::now() +
                         std::chrono::milliseconds(std::stoi(query["wait-ms"]));
      while (true) {
        std::vector<std::pair<uint64_t, json>> found;
        for (const auto& [key, each] : rows_[query["table"]]) {
          if (each.version > after) {
            found.emplace_back(each.version, RowJson(query["table"], key, each));
          }
        }
        std::sort(found.begin(), found.end(), [](const auto& a, const auto& b) {
          return a.first < b.first;
        });
        for (const auto& each : found) answer["rows"].push_back(each.second);
        if (!found.empty()) break;
        if (changed_.wait_until(lock, until) == std::cv_status::timeout) break;
      }
    } else if (path == "/v1/rows-tx") {
      const json body = json::parse(request.body, nullptr, false);
      for (const json& each : body["set-keys"]) {
        Write(each["table"], each["key"], each["value"], false);
      }
      for (const json& each : body["remove"]) {
        Write(each["table"], each["key"], "", true);
      }
      changed_.notify_all();
    } else {
      lock.unlock();
      return peer.Write(Response(404, {}, ""));
    }
    answer["row-version"] = version_;
    answer["now-ms"] = NowMs();
    lock.unlock();
    return peer.Write(Response(200, {{"Content-Type", "application/json"}},
                               answer.dump()));
  }

  http_server server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, row>> rows_;
  uint64_t version_ = 0;
};

/// Ends of requests for a worker's own answers.
inline std::string Signed(const message& request, int status,
                          const std::string& body, header_list more = {}) {
  more.emplace_back("X-Wisteriadale-Request-Id",
                    request.Find("X-Wisteriadale-Request-Id"));
  more.emplace_back("X-Wisteriadale-Response-Signature", "3e1b.07.5a2." + RandomHex(8));
  return Response(status, more, body);
}

/// A worker: an HTTP server that enters itself in the store and checks in. Each
/// start is a new boot with a new id at the same address.
class worker {
 public:
  using runner = std::function<bool(worker&, stream&, const message&)>;
  worker(store& platform, std::string service, runner run, std::string zone = "a")
      : platform_(platform), service_(std::move(service)), run_(std::move(run)),
        zone_(std::move(zone)), port_(FreePort()) {}
  ~worker() {
    stopping_ = true;
    if (heart_.joinable()) heart_.join();
    if (server_) server_->Stop();
  }
  void Start() {
    id_ = "i-" + RandomHex(8);
    born_ = WallMs();
    server_ = std::make_unique<http_server>(
        port_, [this](stream& peer, const message& request) {
          if (dark_) {
            WaitWhileDark();
            return false;
          }
          const std::string expected =
              request.Find("X-Wisteriadale-Expect-Instance");
          if (!expected.empty() && expected != id()) {
            return peer.Write(Response(
                421, {{"X-Wisteriadale-Instance-Id", id()},
                      {"X-Wisteriadale-Request-Id",
                       request.Find("X-Wisteriadale-Request-Id")},
                      {"X-Wisteriadale-Not-Executed", "1"}}, ""));
          }
          return run_(*this, peer, request);
        });
    if (!server_->Start()) {
      std::fprintf(stderr, "a worker cannot listen\n");
      _exit(2);
    }
    Beat();
    if (!heart_.joinable()) heart_ = std::thread([this] { CheckIn(); });
  }
  /// The process ends at once: no answer, no word to the store. It is back
  /// after a time, with a new id; the platform drops the old entry after three
  /// missed check-ins.
  void CrashFor(int64_t back_after_ms) {
    if (down_.exchange(true)) return;
    Record().Line("worker %s (%s) crashes", id().c_str(), service_.c_str());
    crashed_at_ = NowMs();
    back_at_ = NowMs() + back_after_ms;
    server_->Crash();
  }
  /// The process stops at once and says nothing more, while its connections
  /// stay open (it writes its memory to disk, say); then it ends, and is back
  /// after a time. Returns after it has ended.
  void GoDark(int64_t silent_ms, int64_t back_after_ms) {
    if (dark_.exchange(true)) {
      WaitWhileDark();
      return;
    }
    Record().Line("worker %s (%s) goes dark", id().c_str(), service_.c_str());
    SleepMs(silent_ms);
    CrashFor(back_after_ms);
    dark_ = false;
  }
  bool dark() const { return dark_; }
  void WaitWhileDark() {
    while (dark_ && !stopping_) SleepMs(5);
  }
  std::string id() {
    std::lock_guard<std::mutex> lock(mutex_);
    return id_;
  }
  bool down() const { return down_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  const std::string& service() const { return service_; }

 private:
  static constexpr int64_t kHeartbeatMs = 1200;
  void Beat() {
    json entry = {{"service", service_}, {"zone", zone_}, {"version", "v1"},
                  {"address", "127.0.0.1:" + std::to_string(port_)},
                  {"slots", 6}, {"state", "ready"}, {"cold-remaining-ms", 0},
                  {"sequence", ++sequence_}, {"born", born_}};
    platform_.Put("servers", id(), entry.dump());
    last_beat_ = NowMs();
  }
  void CheckIn() {
    while (!stopping_) {
      SleepMs(10);
      for (auto each = expiring_.begin(); each != expiring_.end();) {
        if (each->second <= NowMs()) {
          platform_.Remove("servers", each->first);
          each = expiring_.erase(each);
        } else {
          ++each;
        }
      }
      if (down_) {
        if (NowMs() < back_at_) {
          if (!closed_) server_->Stop();
          closed_ = true;
          continue;
        }
        expiring_.emplace_back(id(), last_beat_ + 3 * kHeartbeatMs);
        closed_ = false;
        {
          std::lock_guard<std::mutex> lock(mutex_);
          id_ = "i-" + RandomHex(8);
        }
        StartAgain();
        continue;
      }
      if (!dark_ && NowMs() - last_beat_ >= kHeartbeatMs) Beat();
    }
  }
  void StartAgain() {
    Start();
    Record().Line("worker %s (%s) is back", id().c_str(), service_.c_str());
    down_ = false;
  }

  store& platform_;
  std::string service_;
  runner run_;
  std::string zone_;
  uint16_t port_;
  std::unique_ptr<http_server> server_;
  std::mutex mutex_;
  std::string id_;
  int64_t born_ = 0;
  uint64_t sequence_ = 0;
  std::thread heart_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> down_{false};
  std::atomic<bool> dark_{false};
  bool closed_ = false;
  std::atomic<int64_t> crashed_at_{0}, back_at_{0}, last_beat_{0};
  std::vector<std::pair<std::string, int64_t>> expiring_;
};

/// Process ids that are ended when the script ends, however it ends.
inline std::set<pid_t>& Children() {
  static std::set<pid_t> children;
  return children;
}

/// A gateway process, started with the deploy file's command and settings as
/// deploy/gateway.json.template gives them.
class gateway {
 public:
  gateway(std::string name, store& platform, std::string folder,
          std::string zone = "a")
      : name_(std::move(name)), platform_(platform), folder_(std::move(folder)),
        zone_(std::move(zone)), callers_(FreePort()), operators_(FreePort()),
        links_(FreePort()) {}
  ~gateway() { Kill(); }

  uint16_t callers() const { return callers_; }
  uint16_t links() const { return links_; }
  pid_t pid() const { return pid_; }
  const std::string& name() const { return name_; }

  void Start(const std::vector<std::string>& seeds) {
    const auto at = [](uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
    const json settings = {
        {"name", name_}, {"data_centre", zone_},
        {"listen", {{"callers", at(callers_)}, {"operators", at(operators_)},
                    {"gateways", at(links_)}}},
        {"store", {{"endpoint", at(platform_.port())}}},
        {"routes", {{"apply_ms", 2000}}},
        {"targets", {{"leave_ms", 2000}, {"heartbeat_ms", 1200}}},
        {"gateways", {{"seeds", seeds}}},
        {"repeats", {{"ratio", 0.2}, {"slack", 58}, {"window_s", 10}}},
        {"capacity", {{"cores", 0.19}, {"link_mbps", 1000.0}}},
        {"stop", {{"grace_s", 8}}},
        {"log", {{"json", true}}}};
    const std::string path = folder_ + "/" + name_ + ".json";
    FILE* file = std::fopen(path.c_str(), "w");
    std::fputs(settings.dump(1).c_str(), file);
    std::fclose(file);
    ended_ = false;
    const pid_t child = fork();
    if (child == 0) {
      // It ends with this process, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = open((folder_ + "/" + name_ + ".log").c_str(),
                           O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      setenv("WISTERIADALE_NODE_FILE", path.c_str(), 1);
      execl("target/bin/wisteria-gateway", "target/bin/wisteria-gateway",
            static_cast<char*>(nullptr));
      _exit(127);
    }
    pid_ = child;
    Children().insert(child);
    Record().Line("%s started, process %d", name_.c_str(), static_cast<int>(child));
  }
  bool WaitReady(int64_t limit_ms = 10000);
  void Signal(int number) {
    Record().Line("%s gets signal %d", name_.c_str(), number);
    kill(pid_, number);
  }
  /// @return whether the process has ended; its status is kept
  bool Ended() {
    if (ended_ || pid_ <= 0) return true;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) return false;
    ended_ = true;
    status_ = status;
    Children().erase(pid_);
    Record().Line("%s ended (%s %d)", name_.c_str(),
                  WIFSIGNALED(status) ? "signal" : "exit code",
                  WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
    return true;
  }
  bool WaitEnd(int64_t limit_ms) {
    const int64_t until = NowMs() + limit_ms;
    while (!Ended() && NowMs() < until) SleepMs(10);
    return Ended();
  }
  void Kill() {
    if (Ended()) return;
    kill(pid_, SIGKILL);
    WaitEnd(5000);
  }
  /// Resident memory in MB.
  double MemoryMb() const {
    FILE* file = std::fopen(("/proc/" + std::to_string(pid_) + "/statm").c_str(), "r");
    long size = 0, resident = 0;
    if (file != nullptr) {
      if (std::fscanf(file, "%ld %ld", &size, &resident) != 2) resident = 0;
      std::fclose(file);
    }
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
  }
  uint16_t operators() const { return operators_; }

 private:
  std::string name_;
  store& platform_;
  std::string folder_;
  std::string zone_;
  uint16_t callers_, operators_, links_;
  std::atomic<pid_t> pid_{0};
  std::atomic<bool> ended_{true};
  int status_ = 0;
};

/// How a requester's connection behaves; 0: the system's own.
struct connection_options {
  int receive_buffer = 0;
  int max_segment = 0;
  size_t bytes_per_s = 0;
};

inline std::unique_ptr<stream> Connect(uint16_t port,
                                       const connection_options& options = {}) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (options.receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &options.receive_buffer,
               sizeof(options.receive_buffer));
  }
  if (options.max_segment > 0) {
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &options.max_segment,
               sizeof(options.max_segment));
  }
  const sockaddr_in address = Loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    ::close(fd);
    return nullptr;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  auto made = std::make_unique<stream>(fd);
  made->bytes_per_s = options.bytes_per_s;
  return made;
}

struct answer {
  message response;
  bool complete = false;
  std::string why;  ///< why it is not complete
  int status() const { return response.status(); }
};

inline const char* kHost = "jepu9.example";

inline std::string RequestText(const std::string& method, const std::string& target,
                               const std::string& id, int64_t deadline_ms,
                               const std::string& key, const std::string& body) {
  std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + kHost + "\r\n";
  if (!id.empty()) text += "X-Wisteriadale-Request-Id: " + id + "\r\n";
  if (deadline_ms > 0) {
    text += "X-Wisteriadale-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  }
  if (!key.empty()) text += "X-Wisteriadale-Key: " + key + "\r\n";
  if (method != "GET") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

inline answer ReadAnswer(stream& from, int64_t deadline_ms) {
  answer got;
  got.complete = ReadHead(from, &got.response, deadline_ms, &got.why) &&
                 ReadBody(from, &got.response, true, deadline_ms, &got.why);
  return got;
}

/// One request on a new connection.
inline answer Ask(uint16_t port, const std::string& text, int64_t patience_ms) {
  const std::unique_ptr<stream> connection = Connect(port);
  answer got;
  if (!connection) {
    got.why = "no connection";
    return got;
  }
  if (!connection->Write(text)) {
    got.why = "reset";
    return got;
  }
  return ReadAnswer(*connection, NowMs() + patience_ms);
}

inline bool gateway::WaitReady(int64_t limit_ms) {
  const int64_t until = NowMs() + limit_ms;
  while (NowMs() < until) {
    const answer got = Ask(operators_, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n", 1000);
    if (got.complete && got.status() == 200) return true;
    SleepMs(50);
  }
  return false;
}

inline json Route(const std::string& name, const std::string& prefix,
                  const std::string& kind, const std::string& service,
                  int timeout_ms, int attempts) {
  return {{"name", name}, {"host", kHost}, {"path-prefix", prefix},
          {"kind", kind}, {"timeout-ms", timeout_ms},
          {"target-latency-ms", 1000}, {"priority", 1}, {"service", service},
          {"max-attempts", attempts}, {"public", false}, {"sticky", false},
          {"resumable", false}};
}
inline json Service(const std::string& name) {
  return {{"name", name}, {"health-path", "/healthz"}, {"max-connections", 310},
          {"protocol", "h1"}, {"tls", false}};
}
inline const char* kKey = "9dnn2ctnfzs989anu6ws";
inline json Manifest(uint64_t version, const json& routes, const json& services) {
  return {{"version", version}, {"routes", routes}, {"services", services},
          {"limits", {{"max-header-bytes", 16384}, {"max-body-bytes", 4194304},
                      {"header-timeout-ms", 3000}, {"idle-timeout-ms", 15000}}},
          {"tenants", {{{"name", "bozi300"}, {"api-keys", {kKey}}, {"priority", 1}}}}};
}

/// What a script's main function gets.
struct setting {
  bool trouble = true;
  std::string temporary;  ///< folder for settings and logs; run.sh removes it
};

/// Runs a case: limits its time, and ends the processes that it started.
/// @param argv the record's path, and a temporary folder
/// @param run  returns 0: the rule held, 1: it was broken, 2: could not run
inline int RunCase(int argc, char** argv, const std::function<int(const setting&)>& run) {
  if (argc != 3) return 2;
  prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with run.sh
  signal(SIGPIPE, SIG_IGN);
  setting given;
  const char* trouble = std::getenv("TROUBLE");
  given.trouble = trouble == nullptr || std::string(trouble) != "0";
  given.temporary = argv[2];
  Record().Open(argv[1]);
  std::thread([] {
    SleepMs(112000);
    Record().Line("could not run: the script takes too long");
    for (const pid_t child : Children()) kill(child, SIGKILL);
    _exit(2);
  }).detach();
  const int result = run(given);
  for (const pid_t child : Children()) {
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
  }
  Record().Line("exit code %d: %s", result,
                result == 0 ? "the rule held" : result == 1 ? "the rule was broken" : "could not run");
  std::printf("%s\n", result == 0 ? "held" : result == 1 ? "broken" : "could not run");
  std::fflush(stdout);
  _exit(result);
}

}  // namespace review
