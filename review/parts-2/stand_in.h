// Stand-ins for the platform's store, workers and requesters, and the start of
// gateways as the deploy file tells. Blocking calls, one thread a connection.
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
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace play {

using text = std::string;

// ---------------------------------------------------------------- time, record

inline int64_t now_ms() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}
inline void sleep_ms(int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline FILE* record_file = nullptr;
inline std::mutex record_mutex;
/// Writes a line to record.txt, with the time in seconds.
__attribute__((format(printf, 1, 2))) inline void record(const char* format,
                                                         ...) {
  const std::lock_guard<std::mutex> lock(record_mutex);
  if (record_file == nullptr) return;
  std::fprintf(record_file, "%8.3f ", static_cast<double>(now_ms()) / 1000);
  va_list values;
  va_start(values, format);
  std::vfprintf(record_file, format, values);
  va_end(values);
  std::fputc('\n', record_file);
  std::fflush(record_file);
}

/// The case could not run.
[[noreturn]] inline void cannot_run(const text& why);

// ---------------------------------------------------------------- connections

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int free_port() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof(address);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    cannot_run("no free port");
  }
  close(fd);
  return ntohs(address.sin_port);
}

struct header {
  text name;
  text value;
};

inline bool same_name(const text& a, const text& b) {
  return a.size() == b.size() &&
         strncasecmp(a.c_str(), b.c_str(), a.size()) == 0;
}

/// A request or an answer.
struct message {
  text start;
  std::vector<header> headers;
  text body;
  int status = 0;
  bool has_head = false;
  bool complete = false;
  text ended;  ///< how the connection ended, if it did: "closed", "reset",
               ///< "timed out"
  int64_t first_ms = -1;  ///< when its first byte arrived
  int64_t end_ms = -1;

  const text* find(const text& name) const {
    for (const header& each : headers) {
      if (same_name(each.name, name)) return &each.value;
    }
    return nullptr;
  }
  text get(const text& name) const {
    const text* value = find(name);
    return value == nullptr ? text() : *value;
  }
  text method() const { return start.substr(0, start.find(' ')); }
  text target() const {
    const size_t from = start.find(' ') + 1;
    return start.substr(from, start.find(' ', from) - from);
  }
};

class connection {
 public:
  explicit connection(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~connection() { shut(); }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  static std::unique_ptr<connection> dial(int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
      close(fd);
      return nullptr;
    }
    return std::make_unique<connection>(fd);
  }

  int fd() const { return fd_; }
  void shut() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  void reset() {
    const linger now{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    shut();
  }

  /// @return whether all was handed to the kernel
  bool send(const text& data) {
    size_t at = 0;
    while (at < data.size()) {
      const ssize_t sent =
          ::send(fd_, data.data() + at, data.size() - at, MSG_NOSIGNAL);
      if (sent <= 0) return false;
      at += static_cast<size_t>(sent);
    }
    return true;
  }

  /// @return whether the peer has closed or reset the connection
  bool peer_left() const {
    char byte = 0;
    const ssize_t got = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  /// Reads the next message.
  message read(bool answer, int64_t until_ms) {
    message got;
    if (read_head(&got, answer, until_ms)) read_body(&got, answer, until_ms);
    got.end_ms = now_ms();
    return got;
  }

 private:
  /// @return whether bytes arrived
  bool fill(message* into, int64_t until_ms) {
    pollfd waiting{fd_, POLLIN, 0};
    const int64_t left = until_ms - now_ms();
    if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
      into->ended = "timed out";
      return false;
    }
    char data[16384];
    const ssize_t got = recv(fd_, data, sizeof(data), 0);
    if (got <= 0) {
      into->ended = got == 0 ? "closed" : "reset";
      return false;
    }
    buffer_.append(data, static_cast<size_t>(got));
    if (into->first_ms < 0) into->first_ms = now_ms();
    return true;
  }

  bool read_line(message* into, text* line, int64_t until_ms) {
    while (true) {
      const size_t end = buffer_.find("\r\n");
      if (end != text::npos) {
        *line = buffer_.substr(0, end);
        buffer_.erase(0, end + 2);
        return true;
      }
      if (!fill(into, until_ms)) return false;
    }
  }

  bool read_bytes(message* into, size_t count, int64_t until_ms) {
    while (buffer_.size() < count) {
      if (!fill(into, until_ms)) {
        into->body.append(std::exchange(buffer_, {}));
        return false;
      }
    }
    into->body.append(buffer_, 0, count);
    buffer_.erase(0, count);
    return true;
  }

  bool read_head(message* into, bool answer, int64_t until_ms) {
    if (!buffer_.empty()) into->first_ms = now_ms();
    while (true) {
      into->headers.clear();
      if (!read_line(into, &into->start, until_ms)) return false;
      text line;
      while (true) {
        if (!read_line(into, &line, until_ms)) return false;
        if (line.empty()) break;
        const size_t colon = line.find(':');
        size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') ++value;
        into->headers.push_back({line.substr(0, colon), line.substr(value)});
      }
      if (answer) into->status = std::atoi(into->start.c_str() + 9);
      if (!answer || into->status / 100 != 1) break;
    }
    into->has_head = true;
    return true;
  }

  void read_body(message* into, bool answer, int64_t until_ms) {
    if (into->get("Transfer-Encoding") == "chunked") {
      while (true) {
        text line;
        if (!read_line(into, &line, until_ms)) return;
        const size_t size = std::strtoul(line.c_str(), nullptr, 16);
        if (size > 0 && !read_bytes(into, size, until_ms)) return;
        if (!read_line(into, &line, until_ms)) return;
        if (size == 0) break;
      }
      into->complete = true;
      return;
    }
    if (const text* length = into->find("Content-Length")) {
      into->complete = read_bytes(
          into, std::strtoul(length->c_str(), nullptr, 10), until_ms);
      return;
    }
    if (!answer || into->status == 204 || into->status == 304) {
      into->complete = true;
      return;
    }
    while (fill(into, until_ms)) continue;
    into->body.append(std::exchange(buffer_, {}));
    into->complete = into->ended == "closed";
  }

  int fd_;
  text buffer_;
};

/// Accepts connections and passes each to a handler, in a thread of its own.
class listener {
 public:
  using handler = std::function<void(connection&)>;

  listener(int port, handler action) : action_(std::move(action)), port_(port) {
    open();
  }
  ~listener() { shut(); }
  int port() const { return port_; }

  void shut() {
    if (fd_ < 0) return;
    ending_ = true;
    shutdown(fd_, SHUT_RDWR);
    acceptor_.join();
    close(fd_);
    fd_ = -1;
  }

 private:
  void open() {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = loopback(port_);
    if (bind(fd_, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(fd_, 256) != 0) {
      cannot_run("cannot listen at port " + std::to_string(port_));
    }
    acceptor_ = std::thread([this] {
      while (!ending_) {
        const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          if (ending_) return;
          continue;
        }
        std::thread([this, fd] {
          connection accepted(fd);
          action_(accepted);
        }).detach();
      }
    });
  }

  handler action_;
  int port_;
  int fd_ = -1;
  std::atomic<bool> ending_ = false;
  std::thread acceptor_;
};

// ---------------------------------------------------------------- the store

inline text base64(const text& data) {
  static const char letters[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  text out;
  for (size_t i = 0; i < data.size(); i += 3) {
    uint32_t bits = static_cast<unsigned char>(data[i]) << 16;
    if (i + 1 < data.size())
      bits |= static_cast<unsigned char>(data[i + 1]) << 8;
    if (i + 2 < data.size()) bits |= static_cast<unsigned char>(data[i + 2]);
    out.push_back(letters[bits >> 18 & 63]);
    out.push_back(letters[bits >> 12 & 63]);
    out.push_back(i + 1 < data.size() ? letters[bits >> 6 & 63] : '=');
    out.push_back(i + 2 < data.size() ? letters[bits & 63] : '=');
  }
  return out;
}

/// The platform's store: rows-get, rows-feed and rows-tx.
class store {
 public:
  store() : listener_(free_port(), [this](connection& c) { serve(c); }) {}
  int port() const { return listener_.port(); }

  /// Writes a row; its return is the ack.
  void put(const text& table, const text& key, const text& value) {
    set(table, key, base64(value), false);
  }
  void drop(const text& table, const text& key) { set(table, key, "", true); }

 private:
  struct row {
    text value;  ///< base64
    uint64_t version = 0;
    bool removed = false;
  };

  void set(const text& table, const text& key, const text& value,
           bool removed) {
    const std::lock_guard<std::mutex> lock(mutex_);
    tables_[table][key] = {value, ++version_, removed};
    changed_.notify_all();
  }

  static text argument(const text& target, const text& name) {
    const size_t at = std::max(target.find("?" + name + "="),
                               target.find("&" + name + "=") == text::npos
                                   ? 0
                                   : target.find("&" + name + "="));
    if (at == text::npos || target.compare(at + 1, name.size(), name) != 0) {
      return "";
    }
    const size_t from = at + name.size() + 2;
    return target.substr(from, target.find('&', from) - from);
  }

  text rows(const text& table, uint64_t after, bool all) {
    std::map<uint64_t, text> found;
    for (const auto& [key, each] : tables_[table]) {
      if (each.version <= after || (all && each.removed)) continue;
      text json = "{\"table\":\"" + table + "\",\"part\":\"\",\"key\":\"" +
                  key + "\",\"row-version\":" + std::to_string(each.version);
      json += each.removed ? ",\"tombstone\":true}"
                           : ",\"value\":\"" + each.value + "\"}";
      found[each.version] = json;
    }
    text list;
    for (const auto& [version, json] : found) {
      list += (list.empty() ? "" : ",") + json;
    }
    return list;
  }

  text result(const text& list) const {
    return "{\"rows\":[" + list +
           "],\"truncated\":false,\"row-version\":" + std::to_string(version_) +
           ",\"now-ms\":" + std::to_string(now_ms()) + "}";
  }

  static text field(const text& object, const text& name) {
    const size_t at = object.find("\"" + name + "\":\"");
    if (at == text::npos) return "";
    const size_t from = at + name.size() + 4;
    return object.substr(from, object.find('"', from) - from);
  }
  static std::vector<text> objects(const text& body, const text& list) {
    std::vector<text> found;
    size_t at = body.find("\"" + list + "\":[");
    if (at == text::npos) return found;
    at += list.size() + 4;
    while (at < body.size() && body[at] != ']') {
      const size_t end = body.find('}', at);
      found.push_back(body.substr(at, end - at));
      at = end + 1;
    }
    return found;
  }

  void serve(connection& with) {
    while (true) {
      const message request = with.read(false, now_ms() + 120000);
      if (!request.complete) return;
      const text target = request.target();
      text body;
      if (target.starts_with("/v1/rows-get")) {
        const std::lock_guard<std::mutex> lock(mutex_);
        body = result(rows(argument(target, "table"), 0, true));
      } else if (target.starts_with("/v1/rows-feed")) {
        const text table = argument(target, "table");
        const uint64_t after =
            std::strtoull(argument(target, "after").c_str(), nullptr, 10);
        const int64_t wait = std::atoll(argument(target, "wait-ms").c_str());
        std::unique_lock<std::mutex> lock(mutex_);
        changed_.wait_for(lock, std::chrono::milliseconds(wait),
                          [&] { return !rows(table, after, false).empty(); });
        body = result(rows(table, after, false));
      } else if (target == "/v1/rows-tx") {
        for (const text& each : objects(request.body, "set-keys")) {
          set(field(each, "table"), field(each, "key"), field(each, "value"),
              false);
        }
        for (const text& each : objects(request.body, "remove")) {
          set(field(each, "table"), field(each, "key"), "", true);
        }
        const std::lock_guard<std::mutex> lock(mutex_);
        body = "{\"row-version\":" + std::to_string(version_) +
               ",\"now-ms\":" + std::to_string(now_ms()) + "}";
      }
      sleep_ms(4);
      if (!with.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                     "Content-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<text, std::map<text, row>> tables_;
  uint64_t version_ = 0;
  listener listener_;
};

// ---------------------------------------------------------------- workers

/// A worker: has an entry in the store, and runs requests as its action says.
class worker {
 public:
  /// @return whether the connection stays open
  using action = std::function<bool(worker&, connection&, const message&)>;

  worker(store& rows, text id, text service, action run)
      : rows_(rows),
        id_(std::move(id)),
        service_(std::move(service)),
        run_(std::move(run)),
        born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count()),
        listener_(free_port(), [this](connection& c) { serve(c); }) {
    beats_ = std::thread([this] {
      for (int64_t turn = 0; !ending_; ++turn) {
        if (turn % 12 == 0) write_entry("ready");
        sleep_ms(100);
      }
    });
  }
  ~worker() {
    ending_ = true;
    if (beats_.joinable()) beats_.join();
  }
  const text& id() const { return id_; }
  text address() const {
    return "127.0.0.1:" + std::to_string(listener_.port());
  }
  bool dead() const { return dead_; }

  /// Ends as a process that crashes: its connections are reset, nothing
  /// listens, and nobody writes its entry any more. May be called by its
  /// action.
  void crash() {
    if (dead_.exchange(true)) return;
    ending_ = true;
    std::thread([this] { listener_.shut(); }).detach();
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const int fd : open_) {
      const linger now{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
      shutdown(fd, SHUT_RD);
    }
  }
  /// Falls silent: its connections stay open, nothing is answered any more, and
  /// nobody writes its entry.
  void fall_silent() {
    dark_ = true;
    dead_ = true;
    ending_ = true;
  }
  /// The platform removes its entry.
  void drop_entry() { rows_.drop("servers", id_); }

  text signature(const message& request) const {
    return "3e1b." + id_ + "." + request.get("X-Wisteriadale-Request-Id");
  }
  /// Headers that each answer has.
  text answer_headers(const message& request) const {
    return "X-Wisteriadale-Request-Id: " +
           request.get("X-Wisteriadale-Request-Id") +
           "\r\nX-Wisteriadale-Response-Signature: " + signature(request) +
           "\r\n";
  }

 private:
  void write_entry(const text& state) {
    rows_.put("servers", id_,
              "{\"service\":\"" + service_ + "\",\"address\":\"" + address() +
                  "\",\"zone\":\"vestland-a\",\"version\":\"v1\",\"slots\":48,"
                  "\"state\":\"" +
                  state + "\",\"cold-remaining-ms\":0,\"sequence\":" +
                  std::to_string(++sequence_) +
                  ",\"born\":" + std::to_string(born_) + "}");
  }

  void serve(connection& with) {
    const int fd = with.fd();
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      open_.push_back(fd);
    }
    serve_requests(with);
    if (dark_) sleep_ms(120000);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      std::erase(open_, fd);
    }
    if (dead_) with.reset();
  }

  void serve_requests(connection& with) {
    while (!dead_) {
      const message request = with.read(false, now_ms() + 60000);
      if (!request.complete || dead_) return;
      const text expected = request.get("X-Wisteriadale-Expect-Instance");
      if (!expected.empty() && expected != id_) {
        if (!with.send("HTTP/1.1 421 Misdirected Request\r\n"
                       "X-Wisteriadale-Not-Executed: 1\r\n"
                       "X-Wisteriadale-Request-Id: " +
                       request.get("X-Wisteriadale-Request-Id") +
                       "\r\nContent-Length: 0\r\n\r\n")) {
          return;
        }
        continue;
      }
      if (!run_(*this, with, request)) return;
    }
  }

  store& rows_;
  text id_;
  text service_;
  action run_;
  int64_t born_;
  int64_t sequence_ = 0;
  std::atomic<bool> ending_ = false;
  std::atomic<bool> dead_ = false;
  std::atomic<bool> dark_ = false;
  std::mutex mutex_;
  std::vector<int> open_;
  listener listener_;
  std::thread beats_;
};

// ---------------------------------------------------------------- gateways

inline text folder;       ///< of the case
inline text work_folder;  ///< temporary
inline bool with_trouble = true;
inline std::vector<pid_t> started;

inline void end_processes() {
  for (const pid_t pid : started) {
    if (waitpid(pid, nullptr, WNOHANG) == 0) {
      kill(pid, SIGCONT);
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
  }
  started.clear();
}

[[noreturn]] inline void finish(int code, const text& why) {
  static std::mutex once;
  once.lock();
  record("%s: %s",
         code == 0   ? "HELD"
         : code == 1 ? "BROKEN"
                     : "NOT RUN",
         why.c_str());
  std::printf("%s: %s\n",
              code == 0   ? "held"
              : code == 1 ? "broken"
                          : "not run",
              why.c_str());
  std::fflush(stdout);
  end_processes();
  if (!work_folder.empty()) {
    const text command = "rm -rf '" + work_folder + "'";
    if (std::system(command.c_str()) != 0)
      std::fprintf(stderr, "left %s\n", work_folder.c_str());
  }
  std::_Exit(code);
}
[[noreturn]] inline void cannot_run(const text& why) { finish(2, why); }

struct gateway {
  text name;
  int callers = 0;
  int operators = 0;
  int links = 0;
  pid_t pid = 0;
  bool running() const { return waitpid(pid, nullptr, WNOHANG) == 0; }
};

inline void replace_all(text* in, const text& from, const text& to) {
  for (size_t at = in->find(from); at != text::npos;
       at = in->find(from, at + to.size())) {
    in->replace(at, from.size(), to);
  }
}

inline std::vector<int> other_seeds;  ///< links of other gateways

/// Fills the template of the deploy file, with the figures of Hekkeform drift.
inline text settings_of(const gateway& g, int store_port) {
  std::ifstream file("deploy/gateway.json.template");
  std::stringstream read;
  read << file.rdbuf();
  text filled = read.str();
  if (filled.empty()) cannot_run("no deploy/gateway.json.template");
  const auto at = [](int port) {
    return "\"127.0.0.1:" + std::to_string(port) + "\"";
  };
  text seeds = at(g.links);
  for (const int port : other_seeds) seeds += "," + at(port);
  const std::map<text, text> values = {{"node", "\"" + g.name + "\""},
                                       {"zone", "\"vestland-a\""},
                                       {"listen.front", at(g.callers)},
                                       {"listen.ready", at(g.operators)},
                                       {"listen.control", at(g.links)},
                                       {"platform.address", at(store_port)},
                                       {"bounds.config-apply-ms", "2000"},
                                       {"bounds.drain-ms", "2000"},
                                       {"heartbeat-ms", "1200"},
                                       {"seeds", "[" + seeds + "]"},
                                       {"bounds.retry-budget-ratio", "0.2"},
                                       {"bounds.budget-slack", "58"},
                                       {"bounds.budget-window-s", "10"},
                                       {"limits.cpu-share", "0.19"},
                                       {"limits.link-mbps", "1000.0"},
                                       {"limits.memory-mb", "260"},
                                       {"limits.max-fds", "4100"},
                                       {"bounds.grace-s", "8"}};
  for (const auto& [field, value] : values) {
    replace_all(&filled, "{{" + field + "|json}}", value);
  }
  if (filled.find("{{") != text::npos)
    cannot_run("unknown field in the template");
  return filled;
}

/// deploy/wire.toml maps GET /v1/readyz to GET /readyz.
inline void wait_until_ready(const gateway& g) {
  const int64_t until = now_ms() + 15000;
  while (now_ms() < until) {
    if (std::unique_ptr<connection> c = connection::dial(g.operators)) {
      c->send("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
      if (c->read(true, now_ms() + 500).status == 200) return;
    }
    sleep_ms(50);
  }
  cannot_run("the gateway is not ready");
}

/// Starts the process of a gateway, with the command of the deploy file.
inline void start_process(gateway* g, const store& rows) {
  const text settings = work_folder + "/" + g->name + ".json";
  std::ofstream(settings) << settings_of(*g, rows.port());
  const text log = work_folder + "/" + g->name + ".log";
  const text variable = "WISTERIADALE_NODE_FILE=" + settings;
  if (access("target/bin/wisteria-gateway", X_OK) != 0) {
    cannot_run("target/bin/wisteria-gateway is not built");
  }
  g->pid = fork();
  if (g->pid == 0) {
    // Ends with the stand-in, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, 1);
    dup2(out, 2);
    const char* arguments[] = {"target/bin/wisteria-gateway", nullptr};
    const char* variables[] = {variable.c_str(), "PATH=/usr/bin:/bin", nullptr};
    execve(arguments[0], const_cast<char**>(arguments),
           const_cast<char**>(variables));
    _exit(127);
  }
  started.push_back(g->pid);
}

inline void kill_process(gateway* g) {
  kill(g->pid, SIGKILL);
  waitpid(g->pid, nullptr, 0);
  std::erase(started, g->pid);
}

inline gateway make_gateway(const text& name) {
  gateway g;
  g.name = name;
  g.callers = free_port();
  g.operators = free_port();
  g.links = free_port();
  return g;
}

inline gateway start_gateway(const text& name, const store& rows) {
  gateway g = make_gateway(name);
  start_process(&g, rows);
  wait_until_ready(g);
  record("%s is ready", name.c_str());
  return g;
}

// ---------------------------------------------------------------- requesters

inline const text host = "pule25.example";
inline const text key = "9dnn2ctnfzs989anu6ws";

inline text new_id() {
  static std::mutex mutex;
  static std::mt19937_64 random{std::random_device{}()};
  const std::lock_guard<std::mutex> lock(mutex);
  char digits[17];
  std::snprintf(digits, sizeof(digits), "%016llx",
                static_cast<unsigned long long>(random()));
  return digits;
}

/// A request as requesters send it.
inline text request_bytes(const text& method, const text& target,
                          const text& id, int deadline_ms, const text& more,
                          const text& body) {
  text bytes =
      method + " " + target + " HTTP/1.1\r\nHost: " + host +
      "\r\nX-Wisteriadale-Request-Id: " + id +
      "\r\nX-Wisteriadale-Deadline-Ms: " + std::to_string(deadline_ms) +
      "\r\nX-Wisteriadale-Key: " + key + "\r\n" + more;
  if (method != "GET")
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return bytes + "\r\n" + body;
}

inline text more_services;  ///< of the manifest

/// A manifest with the routes of the small deployment that the cases use.
inline text manifest(int version, const text& routes) {
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes +
         "],\"services\":[{\"name\":\"modellverk\",\"health-path\":\"/"
         "healthz\","
         "\"max-connections\":310,\"protocol\":\"h1\",\"tls\":false,\"engine\":"
         "{"
         "\"slots\":48,\"kv-capacity-tokens\":583197}},{\"name\":\"ordre\","
         "\"health-path\":\"/healthz\",\"max-connections\":310,\"protocol\":"
         "\"h1\",\"tls\":false}" +
         more_services +
         "],\"limits\":{\"max-header-bytes\":16384,"
         "\"max-body-bytes\":4194304,\"header-timeout-ms\":10000,"
         "\"idle-timeout-ms\":30000},\"tenants\":[{\"name\":\"bozi300\","
         "\"api-keys\":[\"" +
         key + "\"]}]}";
}
inline text route(const text& name, const text& prefix, const text& kind,
                  const text& service, int timeout_ms, int aim_ms,
                  const text& more) {
  return "{\"name\":\"" + name + "\",\"host\":\"" + host +
         "\",\"path-prefix\":\"" + prefix + "\",\"kind\":\"" + kind +
         "\",\"timeout-ms\":" + std::to_string(timeout_ms) +
         ",\"target-latency-ms\":" + std::to_string(aim_ms) +
         ",\"priority\":1,\"service\":\"" + service +
         "\",\"max-attempts\":1,\"public\":false" + more + "}";
}

/// Runs a case: main of each.
inline int play_case(int count, char** arguments,
                     const std::function<void()>& act) {
  signal(SIGPIPE, SIG_IGN);
  folder = count > 1 ? arguments[1] : ".";
  const char* trouble = std::getenv("TROUBLE");
  with_trouble = trouble == nullptr || text(trouble) != "0";
  record_file = std::fopen((folder + "/record.txt").c_str(), "w");
  text pattern = "/tmp/review-2-XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr) cannot_run("no temporary folder");
  work_folder = pattern;
  record("disruption: %s", with_trouble ? "yes" : "no (TROUBLE=0)");
  std::thread([] {
    std::this_thread::sleep_for(std::chrono::seconds(110));
    finish(2, "took too long");
  }).detach();
  act();
  cannot_run("the case ended without a result");
}

}  // namespace play
