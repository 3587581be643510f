#include "net/socket_bytes.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace wisteriadale::net {

uint64_t BytesRead(int fd) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  int unread = 0;
  if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0;
  if (ioctl(fd, FIONREAD, &unread) != 0) return 0;
  return info.tcpi_bytes_received - static_cast<uint64_t>(unread);
}

bool PeerHasClosed(int fd) {
  char byte = 0;
  return recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) == 0;
}

}  // namespace wisteriadale::net
