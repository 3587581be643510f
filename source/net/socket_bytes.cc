#include "net/socket_bytes.h"

#include <arpa/inet.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace wisteriadale::net {

uint64_t BytesRead(int fd) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  int unread = 0;
  if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0;
  if (ioctl(fd, FIONREAD, &unread) != 0) return 0;
  return info.tcpi_bytes_received - static_cast<uint64_t>(unread);
}

bool IsListening(const endpoint& at) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(at.port);
  if (inet_pton(AF_INET, at.address.c_str(), &address.sin_addr) != 1) {
    return false;
  }
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return false;
  const bool taken = bind(fd, reinterpret_cast<const sockaddr*>(&address),
                          sizeof(address)) != 0 &&
                     errno == EADDRINUSE;
  close(fd);
  return taken;
}

bool PeerHasClosed(int fd) {
  char byte = 0;
  return recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) == 0;
}

}  // namespace wisteriadale::net
