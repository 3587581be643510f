#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace wisteriadale::scenario {

/// Direction in which a connection is silenced.
enum class relay_direction { kToServer, kToClient, kBoth };

/// TCP relay to a loopback port, on its own thread, that injects network
/// faults: open connections can be silenced while new ones work.
class tcp_relay {
 public:
  /// @return the relay, or nothing with LastError set
  static std::optional<std::unique_ptr<tcp_relay>> Create(uint16_t listen_port,
                                                          uint16_t to_port);
  ~tcp_relay();
  tcp_relay(const tcp_relay&) = delete;
  tcp_relay& operator=(const tcp_relay&) = delete;

  /// Stops forwarding bytes and closes on the connections that are open now.
  void Silence(relay_direction direction);
  /// Closes the connections that are open now.
  void Cut();
  /// Resets the connections that are open now.
  void Reset();
  /// Limits each direction of each connection, new ones included.
  /// @param bytes_per_s 0 for no limit
  void Pace(size_t bytes_per_s);
  /// Connects new connections to another port.
  void Redirect(uint16_t to_port);
  /// @param refuse whether new connections are closed at once
  void Refuse(bool refuse);
  /// @return connections accepted so far
  uint64_t accepted() const { return accepted_; }

 private:
  struct link;

  tcp_relay(int listener, uint16_t to_port);
  void Run();
  void Accept();

  int listener_;
  std::atomic<bool> stopping_ = false;
  std::atomic<uint64_t> accepted_ = 0;
  std::mutex mutex_;  ///< guards the members below
  uint16_t to_port_;
  bool refusing_ = false;
  size_t bytes_per_s_ = 0;
  std::list<std::unique_ptr<link>> links_;
  std::thread thread_;
};

}  // namespace wisteriadale::scenario
