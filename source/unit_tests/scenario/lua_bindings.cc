#include "unit_tests/scenario/lua_bindings.h"

#include <csignal>
#include <fstream>
#include <limits>

#include "common/digest.h"
#include "common/last_error.h"
#include "unit_tests/scenario/lua_json.h"

namespace wisteriadale::scenario {
namespace {

using nlohmann::json;

constexpr common::duration kPumpInterval = std::chrono::milliseconds(2);

scenario_state& Scenario(lua_State* state) {
  return *static_cast<scenario_state*>(
      lua_touserdata(state, lua_upvalueindex(1)));
}

/// @return the element whose handle, its number from 1, is the first argument
template <typename element>
element& ObjectArgument(lua_State* state, std::vector<element>& list) {
  const lua_Integer number = luaL_checkinteger(state, 1);
  const bool known = number >= 1 &&
                     static_cast<size_t>(number) <= list.size() &&
                     list[static_cast<size_t>(number) - 1] != nullptr;
  if (!known) luaL_error(state, "no such object: %d", static_cast<int>(number));
  return list[static_cast<size_t>(number) - 1];
}

int PushHandle(lua_State* state, size_t number) {
  lua_pushinteger(state, static_cast<lua_Integer>(number));
  return 1;
}

int RaiseLastReason(lua_State* state) {
  return luaL_error(state, "%s", common::LastError().text.c_str());
}

std::string StringArgument(lua_State* state, int index) {
  size_t length = 0;
  const char* text = luaL_checklstring(state, index, &length);
  return {text, length};
}

/// Builds a settings document from values by JSON pointer.
json SettingsFrom(const json& pointers) {
  json settings = json::object();
  for (const auto& [pointer, value] : pointers.items()) {
    settings[json::json_pointer(pointer)] = value;
  }
  return settings;
}

// spawn(binary, settings by JSON pointer, max_files=0) -> process
int Spawn(lua_State* state) {
  scenario_state& scenario = Scenario(state);
  const std::string binary = StringArgument(state, 1);
  const json settings = SettingsFrom(ToJson(state, 2));
  const std::string base = scenario.logs + "/" +
                           std::to_string(scenario.children.size() + 1) + "-" +
                           settings.value("name", binary);
  const std::string settings_file = base + ".json";
  std::ofstream(settings_file) << settings.dump(2) << "\n";
  std::optional<std::unique_ptr<child_process>> child = child_process::Start(
      scenario.binaries + "/" + binary, {"--settings=" + settings_file},
      base + ".log", {static_cast<uint64_t>(luaL_optinteger(state, 3, 0))});
  if (!child) return RaiseLastReason(state);
  scenario.children.push_back(std::move(*child));
  return PushHandle(state, scenario.children.size());
}

// signal(process, name)
int SignalChild(lua_State* state) {
  const std::string name = StringArgument(state, 2);
  const std::unique_ptr<child_process>& child =
      ObjectArgument(state, Scenario(state).children);
  if (name == "KILL") child->Signal(SIGKILL);
  if (name == "TERM") child->Signal(SIGTERM);
  if (name == "STOP") child->Signal(SIGSTOP);
  if (name == "CONT") child->Signal(SIGCONT);
  if (name == "HUP") child->Signal(SIGHUP);
  return 0;
}

// exit_code(process) -> number or nil
int ExitCode(lua_State* state) {
  const std::optional<int> code =
      ObjectArgument(state, Scenario(state).children)->ExitCode();
  if (!code) return 0;
  lua_pushinteger(state, *code);
  return 1;
}

// resident_kb(process) -> number
int ResidentKilobytes(lua_State* state) {
  lua_pushinteger(
      state,
      ObjectArgument(state, Scenario(state).children)->ResidentKilobytes());
  return 1;
}

// peak_kb(process) -> highest resident memory so far
int PeakKilobytes(lua_State* state) {
  lua_pushinteger(
      state, ObjectArgument(state, Scenario(state).children)->PeakKilobytes());
  return 1;
}

// unread_kb(process) -> received and not read
int UnreadKilobytes(lua_State* state) {
  lua_pushinteger(
      state,
      ObjectArgument(state, Scenario(state).children)->UnreadKilobytes());
  return 1;
}

// has_sockets(process) -> boolean
int HasSockets(lua_State* state) {
  const bool opened =
      ObjectArgument(state, Scenario(state).children)->HasOpenedSockets();
  lua_pushboolean(state, opened ? 1 : 0);
  return 1;
}

// run(program, argument...) -> exit code; waits for a tool that prepares a
// scenario
int RunTool(lua_State* state) {
  scenario_state& scenario = Scenario(state);
  const std::string program = StringArgument(state, 1);
  std::vector<std::string> arguments;
  for (int i = 2; i <= lua_gettop(state); ++i) {
    arguments.push_back(StringArgument(state, i));
  }
  std::optional<std::unique_ptr<child_process>> tool =
      child_process::Start(program, arguments, scenario.logs + "/tools.log");
  if (!tool) return RaiseLastReason(state);
  while (!(*tool)->ExitCode()) scenario.Pump(kPumpInterval);
  lua_pushinteger(state, *(*tool)->ExitCode());
  return 1;
}

// free_port() -> number
int FreePort(lua_State* state) {
  const uint16_t port = Scenario(state).ports->Allocate();
  if (port == 0) return luaL_error(state, "no free port is left");
  lua_pushinteger(state, port);
  return 1;
}

net::http_call CallFrom(const json& description) {
  net::http_call call;
  call.method = description.value("method", "GET");
  call.to = {"127.0.0.1", description.value("port", uint16_t{0})};
  call.path = description.value("path", "/");
  call.body = description.value("body", "");
  call.timeout = common::milliseconds(description.value("timeout_ms", 10000));
  const json headers = description.value("headers", json::object());
  for (const auto& [name, value] : headers.items()) {
    call.headers.push_back({name, value.get<std::string>()});
  }
  return call;
}

// http_start{method=, port=, path=, headers=, body=, timeout_ms=} -> call
int HttpStart(lua_State* state) {
  scenario_state& scenario = Scenario(state);
  const std::shared_ptr<http_request_state> started =
      std::make_shared<http_request_state>();
  started->transfer = net::StartHttpCall(
      *scenario.loop, CallFrom(ToJson(state, 1)),
      [started](const net::http_result& result) {
        started->done = true;
        started->result = result;
      },
      [started](std::string_view data) { started->body.append(data); });
  scenario.calls.push_back(started);
  return PushHandle(state, scenario.calls.size());
}

// http_state(call) -> {done, status, complete, failure, body}
int HttpState(lua_State* state) {
  const http_request_state& call =
      *ObjectArgument(state, Scenario(state).calls);
  PushJson(state, {{"done", call.done},
                   {"status", call.result.status},
                   {"complete", call.result.complete},
                   {"failure", call.result.failure}});
  lua_pushlstring(state, call.body.data(), call.body.size());
  lua_setfield(state, -2, "body");
  return 1;
}

// http_cancel(call)
int HttpCancel(lua_State* state) {
  const std::shared_ptr<http_request_state> call =
      ObjectArgument(state, Scenario(state).calls);
  if (!call->done) call->transfer->Cancel();
  call->done = true;
  return 0;
}

// pump(milliseconds)
int PumpLoop(lua_State* state) {
  Scenario(state).Pump(common::milliseconds(luaL_checkinteger(state, 1)));
  return 0;
}

// relay_open(listen port, to port) -> relay
int RelayOpen(lua_State* state) {
  scenario_state& scenario = Scenario(state);
  std::optional<std::unique_ptr<tcp_relay>> relay =
      tcp_relay::Create(static_cast<uint16_t>(luaL_checkinteger(state, 1)),
                        static_cast<uint16_t>(luaL_checkinteger(state, 2)));
  if (!relay) return RaiseLastReason(state);
  scenario.relays.push_back(std::move(*relay));
  return PushHandle(state, scenario.relays.size());
}

// relay_do(relay, action, bytes per second for "pace", port for "redirect")
int RelayDo(lua_State* state) {
  const std::string action = StringArgument(state, 2);
  tcp_relay& relay = *ObjectArgument(state, Scenario(state).relays);
  if (action == "silence") relay.Silence(relay_direction::kBoth);
  if (action == "silence_to_server") relay.Silence(relay_direction::kToServer);
  if (action == "silence_to_client") relay.Silence(relay_direction::kToClient);
  if (action == "cut") relay.Cut();
  if (action == "reset") relay.Reset();
  if (action == "pace") {
    relay.Pace(static_cast<size_t>(luaL_checkinteger(state, 3)));
  }
  if (action == "redirect") {
    relay.Redirect(static_cast<uint16_t>(luaL_checkinteger(state, 3)));
  }
  if (action == "refuse") relay.Refuse(true);
  if (action == "admit") relay.Refuse(false);
  return 0;
}

// relay_accepted(relay) -> number
int RelayAccepted(lua_State* state) {
  return PushHandle(state,
                    ObjectArgument(state, Scenario(state).relays)->accepted());
}

// socket_open(port, receive buffer, segment size) -> socket
int SocketOpen(lua_State* state) {
  scenario_state& scenario = Scenario(state);
  tcp_socket_options options;
  options.receive_buffer_bytes =
      static_cast<int>(luaL_optinteger(state, 2, options.receive_buffer_bytes));
  options.max_segment_bytes = static_cast<int>(luaL_optinteger(state, 3, 0));
  std::optional<std::unique_ptr<tcp_socket>> opened = tcp_socket::Connect(
      static_cast<uint16_t>(luaL_checkinteger(state, 1)), options);
  if (!opened) return RaiseLastReason(state);
  scenario.sockets.push_back(std::move(*opened));
  return PushHandle(state, scenario.sockets.size());
}

// socket_send(socket, bytes) -> boolean
int SocketSend(lua_State* state) {
  const std::string data = StringArgument(state, 2);
  const bool sent = ObjectArgument(state, Scenario(state).sockets)->Send(data);
  lua_pushboolean(state, sent ? 1 : 0);
  return 1;
}

// socket_send_some(socket, bytes, offset) -> bytes sent without waiting, or nil
// when the connection failed
int SocketSendSome(lua_State* state) {
  size_t length = 0;
  const char* data = luaL_checklstring(state, 2, &length);
  const std::string_view rest =
      std::string_view(data, length)
          .substr(static_cast<size_t>(luaL_checkinteger(state, 3)));
  const std::optional<size_t> sent =
      ObjectArgument(state, Scenario(state).sockets)->SendSome(rest);
  if (!sent) return 0;
  lua_pushinteger(state, static_cast<lua_Integer>(*sent));
  return 1;
}

// socket_read(socket, limit in bytes) -> bytes, closed, reset
int SocketRead(lua_State* state) {
  bool closed = false;
  bool reset = false;
  const size_t limit = static_cast<size_t>(
      luaL_optinteger(state, 2, std::numeric_limits<lua_Integer>::max()));
  const std::string data = ObjectArgument(state, Scenario(state).sockets)
                               ->Read(limit, &closed, &reset);
  lua_pushlstring(state, data.data(), data.size());
  lua_pushboolean(state, closed ? 1 : 0);
  lua_pushboolean(state, reset ? 1 : 0);
  return 3;
}

// socket_shutdown(socket)
int SocketShutdown(lua_State* state) {
  ObjectArgument(state, Scenario(state).sockets)->Shutdown();
  return 0;
}

// socket_close(socket)
int SocketClose(lua_State* state) {
  ObjectArgument(state, Scenario(state).sockets).reset();
  return 0;
}

// socket_reset(socket)
int SocketReset(lua_State* state) {
  std::unique_ptr<tcp_socket>& socket =
      ObjectArgument(state, Scenario(state).sockets);
  socket->ResetOnClose();
  socket.reset();
  return 0;
}

// listen(port) -> acceptor
int ListenOn(lua_State* state) {
  scenario_state& scenario = Scenario(state);
  std::optional<std::unique_ptr<tcp_acceptor>> acceptor =
      tcp_acceptor::Listen(static_cast<uint16_t>(luaL_checkinteger(state, 1)));
  if (!acceptor) return RaiseLastReason(state);
  scenario.acceptors.push_back(std::move(*acceptor));
  return PushHandle(state, scenario.acceptors.size());
}

// accept(acceptor) -> socket, or nil while there is no connection
int AcceptFrom(lua_State* state) {
  scenario_state& scenario = Scenario(state);
  std::unique_ptr<tcp_socket> accepted =
      ObjectArgument(state, scenario.acceptors)->Accept();
  if (!accepted) return 0;
  scenario.sockets.push_back(std::move(accepted));
  return PushHandle(state, scenario.sockets.size());
}

// unlisten(acceptor)
int StopListening(lua_State* state) {
  ObjectArgument(state, Scenario(state).acceptors).reset();
  return 0;
}

// now_ms() -> number
int NowMs(lua_State* state) {
  const common::time_point now = Scenario(state).clock.Now();
  lua_pushinteger(state, std::chrono::duration_cast<common::milliseconds>(
                             now.time_since_epoch())
                             .count());
  return 1;
}

// sha256(bytes) -> hexadecimal digits
int Sha256(lua_State* state) {
  lua_pushstring(state, common::Sha256Hex(StringArgument(state, 1)).c_str());
  return 1;
}

// encode(value) -> JSON text
int Encode(lua_State* state) {
  lua_pushstring(state, ToJson(state, 1).dump().c_str());
  return 1;
}

// decode(JSON text) -> value, or nil when it is not JSON
int Decode(lua_State* state) {
  const json value = json::parse(StringArgument(state, 1), nullptr, false);
  if (value.is_discarded()) return 0;
  PushJson(state, value);
  return 1;
}

// logs() -> directory of this run's settings and log files
int Logs(lua_State* state) {
  lua_pushstring(state, Scenario(state).logs.c_str());
  return 1;
}

constexpr luaL_Reg kBindings[] = {{"spawn", Spawn},
                                  {"signal", SignalChild},
                                  {"exit_code", ExitCode},
                                  {"resident_kb", ResidentKilobytes},
                                  {"peak_kb", PeakKilobytes},
                                  {"unread_kb", UnreadKilobytes},
                                  {"has_sockets", HasSockets},
                                  {"run", RunTool},
                                  {"free_port", FreePort},
                                  {"http_start", HttpStart},
                                  {"http_state", HttpState},
                                  {"http_cancel", HttpCancel},
                                  {"pump", PumpLoop},
                                  {"relay_open", RelayOpen},
                                  {"relay_do", RelayDo},
                                  {"relay_accepted", RelayAccepted},
                                  {"socket_open", SocketOpen},
                                  {"socket_send", SocketSend},
                                  {"socket_send_some", SocketSendSome},
                                  {"socket_read", SocketRead},
                                  {"socket_reset", SocketReset},
                                  {"listen", ListenOn},
                                  {"accept", AcceptFrom},
                                  {"unlisten", StopListening},
                                  {"socket_shutdown", SocketShutdown},
                                  {"socket_close", SocketClose},
                                  {"now_ms", NowMs},
                                  {"sha256", Sha256},
                                  {"encode", Encode},
                                  {"decode", Decode},
                                  {"logs", Logs},
                                  {nullptr, nullptr}};

}  // namespace

std::optional<std::unique_ptr<scenario_state>> scenario_state::Create(
    std::string binaries, std::string logs) {
  std::unique_ptr<scenario_state> created(new scenario_state());
  created->binaries = std::move(binaries);
  created->logs = std::move(logs);
  std::optional<std::unique_ptr<net::event_loop>> loop =
      net::event_loop::Create({});
  if (!loop) return std::nullopt;
  created->loop = std::move(*loop);
  std::optional<std::unique_ptr<port_block>> ports = port_block::Reserve();
  if (!ports) return std::nullopt;
  created->ports = std::move(*ports);
  return created;
}

void scenario_state::Pump(common::duration time) {
  loop->Schedule(time, [this] { loop->Stop(); });
  loop->Run();
}

void RegisterLuaBindings(lua_State* state, scenario_state* scenario) {
  lua_newtable(state);
  lua_pushlightuserdata(state, scenario);
  luaL_setfuncs(state, kBindings, 1);
  lua_setglobal(state, "runner");
}

}  // namespace wisteriadale::scenario
