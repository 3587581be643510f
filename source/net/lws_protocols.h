#pragma once

#include <libwebsockets.h>

#include <functional>

namespace wisteriadale::net {

inline constexpr char kChannelProtocol[] = "wisteria-peer";
inline constexpr char kChannelClientProtocol[] = "wisteria-peer-client";
inline constexpr char kHttpClientProtocol[] = "wisteria-http-client";
/// Plain sockets that the loop polls.
inline constexpr char kSocketProtocol[] = "wisteria-socket";

int HttpClientCallback(lws* wsi, lws_callback_reasons reason, void* user,
                       void* in, size_t length);
int ChannelClientCallback(lws* wsi, lws_callback_reasons reason, void* user,
                          void* in, size_t length);

int SocketCallback(lws* wsi, lws_callback_reasons reason, void* user, void* in,
                   size_t length);

/// Handles that libwebsockets frees an outgoing connection, of which it
/// notifies only the first protocol in the list.
/// @param user the channel, or the user data of another protocol
void ChannelDestroyed(lws* wsi, void* user);

/// @return the protocols of outgoing connections, ended by an empty entry
const lws_protocols* ClientProtocols();

/// Drops the handlers of all channels and calls of a context that is about to
/// be destroyed, as the objects they refer to may already be destroyed.
void DropChannelHandlers(const lws_context* context);
void DropCallHandlers(const lws_context* context);

}  // namespace wisteriadale::net
