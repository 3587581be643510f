#include "net/pollable.h"

#include <libwebsockets.h>

#include <unordered_map>
#include <utility>

#include "net/lws_protocols.h"

namespace wisteriadale::net {
namespace {

// Keeps each descriptor's object alive while libwebsockets refers to it.
std::unordered_map<pollable*, std::shared_ptr<pollable>>& LivePollables() {
  static std::unordered_map<pollable*, std::shared_ptr<pollable>> live;
  return live;
}

}  // namespace

lws* AdoptDescriptor(event_loop& loop, int fd,
                     const std::shared_ptr<pollable>& object) {
  lws_sock_file_fd_type descriptor;
  descriptor.filefd = fd;
  lws* wsi =
      lws_adopt_descriptor_vhost(loop.client_vhost(), LWS_ADOPT_RAW_FILE_DESC,
                                 descriptor, kSocketProtocol, nullptr);
  if (wsi == nullptr) return nullptr;
  lws_set_opaque_user_data(wsi, object.get());
  LivePollables().emplace(object.get(), object);
  return wsi;
}

void CloseAsync(lws* wsi) {
  lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

int SocketCallback(lws* wsi, lws_callback_reasons reason, void*, void*,
                   size_t) {
  pollable* object = static_cast<pollable*>(lws_get_opaque_user_data(wsi));
  if (object == nullptr) return 0;
  switch (reason) {
    case LWS_CALLBACK_RAW_RX_FILE:
      return object->OnReadable() ? 0 : -1;
    case LWS_CALLBACK_RAW_WRITEABLE_FILE:
      return object->OnWritable() ? 0 : -1;
    case LWS_CALLBACK_RAW_CLOSE_FILE: {
      lws_set_opaque_user_data(wsi, nullptr);
      const auto found = LivePollables().find(object);
      if (found == LivePollables().end()) return 0;
      const std::shared_ptr<pollable> kept = std::move(found->second);
      LivePollables().erase(found);
      kept->OnClosed();
      return 0;
    }
    default:
      return 0;
  }
}

}  // namespace wisteriadale::net
