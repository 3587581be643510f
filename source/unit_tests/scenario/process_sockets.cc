#include "unit_tests/scenario/process_sockets.h"

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace wisteriadale::scenario {
namespace {

constexpr int kHexadecimal = 16;
// State of a socket in /proc/net/tcp.
constexpr uint64_t kListening = 10;

struct tcp_entry {
  uint64_t local_port = 0;
  uint64_t state = 0;
  uint64_t unread = 0;  ///< of a listening socket: connections not accepted
  uint64_t inode = 0;   ///< 0: not accepted yet, or closed by its process
};

uint64_t ParseNumber(std::string_view text, int base) {
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number, base);
  return number;
}

std::string_view After(std::string_view text, char separator) {
  return text.substr(text.find(separator) + 1);
}

/// @param line "sl local remote state tx:rx timer retransmits uid timeout
/// inode ..."; the addresses end with ":port"
std::optional<tcp_entry> ParseEntry(const std::string& line) {
  constexpr size_t kInodeField = 9;
  std::vector<std::string_view> fields;
  size_t at = 0;
  while (fields.size() <= kInodeField) {
    at = line.find_first_not_of(' ', at);
    if (at == std::string::npos) return std::nullopt;
    const size_t end = std::min(line.find(' ', at), line.size());
    fields.push_back(std::string_view(line).substr(at, end - at));
    at = end;
  }
  return tcp_entry{ParseNumber(After(fields[1], ':'), kHexadecimal),
                   ParseNumber(fields[3], kHexadecimal),
                   ParseNumber(After(fields[4], ':'), kHexadecimal),
                   ParseNumber(fields[kInodeField], 10)};
}

std::unordered_set<uint64_t> SocketInodes(pid_t pid) {
  constexpr std::string_view kSocket = "socket:[";
  std::unordered_set<uint64_t> inodes;
  std::error_code error;
  for (const std::filesystem::directory_entry& file :
       std::filesystem::directory_iterator(
           "/proc/" + std::to_string(pid) + "/fd", error)) {
    const std::string target =
        std::filesystem::read_symlink(file.path(), error).string();
    if (!target.starts_with(kSocket)) continue;
    inodes.insert(
        ParseNumber(std::string_view(target).substr(kSocket.size()), 10));
  }
  return inodes;
}

}  // namespace

int64_t UnreadBytes(pid_t pid) {
  const std::unordered_set<uint64_t> own = SocketInodes(pid);
  std::vector<tcp_entry> not_accepted;
  std::unordered_set<uint64_t> listening_ports;
  uint64_t unread = 0;
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);  // names of the columns
  while (std::getline(table, line)) {
    const std::optional<tcp_entry> entry = ParseEntry(line);
    if (!entry) continue;
    if (entry->state == kListening) {
      if (own.contains(entry->inode)) listening_ports.insert(entry->local_port);
    } else if (own.contains(entry->inode)) {
      unread += entry->unread;
    } else if (entry->inode == 0) {
      not_accepted.push_back(*entry);
    }
  }
  for (const tcp_entry& entry : not_accepted) {
    if (listening_ports.contains(entry.local_port)) unread += entry.unread;
  }
  return static_cast<int64_t>(unread);
}

}  // namespace wisteriadale::scenario
