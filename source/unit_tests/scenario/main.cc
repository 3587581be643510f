#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>

#include "common/last_error.h"
#include "unit_tests/scenario/lua_bindings.h"

namespace wisteriadale::scenario {
namespace {

// Below the timeout of ctest, so that the runner ends its child processes
// itself.
constexpr unsigned kScriptTimeoutSeconds = 75;
constexpr size_t kLogTailBytes = 3000;

std::string Tail(const std::string& path) {
  std::ifstream file(path);
  const std::string text((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  return text.size() > kLogTailBytes ? text.substr(text.size() - kLogTailBytes)
                                     : text;
}

void PrintLogs(const scenario_state& scenario) {
  for (const std::unique_ptr<child_process>& child : scenario.children) {
    std::fprintf(stderr, "--- %s\n%s", child->log_file().c_str(),
                 Tail(child->log_file()).c_str());
  }
}

int AddTraceback(lua_State* state) {
  luaL_traceback(state, state, lua_tostring(state, 1), 1);
  return 1;
}

/// @return whether the script ran to its end without an error
bool RunScript(scenario_state* scenario, const std::string& script) {
  lua_State* state = luaL_newstate();
  luaL_openlibs(state);
  RegisterLuaBindings(state, scenario);
  const std::string library =
      std::filesystem::path(script).parent_path() / "lib" / "?.lua";
  lua_getglobal(state, "package");
  lua_pushstring(state, library.c_str());
  lua_setfield(state, -2, "path");
  lua_settop(state, 0);
  lua_pushcfunction(state, AddTraceback);
  const bool passed = luaL_loadfile(state, script.c_str()) == LUA_OK &&
                      lua_pcall(state, 0, 0, 1) == LUA_OK;
  if (!passed) {
    std::fprintf(stderr, "FAILED: %s\n", lua_tostring(state, -1));
    PrintLogs(*scenario);
  }
  lua_close(state);
  return passed;
}

int Run(const std::string& binaries, const std::string& logs,
        const std::string& script) {
  const std::string directory =
      logs + "/" + std::filesystem::path(script).stem().string();
  std::filesystem::remove_all(directory);
  std::filesystem::create_directories(directory);
  const std::optional<std::unique_ptr<scenario_state>> scenario =
      scenario_state::Create(binaries, directory);
  if (!scenario) {
    std::fprintf(stderr, "%s\n", common::LastError().text.c_str());
    return 1;
  }
  const bool passed = RunScript(scenario->get(), script);
  std::printf("%s: %s\n", script.c_str(), passed ? "passed" : "failed");
  return passed ? 0 : 1;
}

}  // namespace
}  // namespace wisteriadale::scenario

int main(int argc, char** argv) {
  if (argc != 4) {
    std::fputs("usage: wisteria-scenario BINARIES LOGS SCRIPT\n", stderr);
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  // Child processes end with the runner, also when the alarm kills it.
  alarm(wisteriadale::scenario::kScriptTimeoutSeconds);
  return wisteriadale::scenario::Run(argv[1], argv[2], argv[3]);
}
