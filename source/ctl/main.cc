#include <gflags/gflags.h>

#include <cstdio>
#include <string>
#include <vector>

#include "common/last_error.h"
#include "ctl/commands.h"
#include "settings/command_line.h"

DEFINE_string(routers, "127.0.0.1:8080",
              "routers to try in order: address:port,address:port");
DEFINE_string(key_file, "", "file with the operators' key");
DEFINE_string(operator, "", "name recorded with each change");
DEFINE_string(output, "table", "output format: table or json");
DEFINE_int32(timeout_ms, 10000, "time limit of each router call");

namespace wisteriadale::ctl {
namespace {

/// @return the key without trailing line ends, empty for an empty path, or
/// nothing when the file cannot be opened
std::optional<std::string> ReadKey(const std::string& path) {
  if (path.empty()) return std::string();
  std::FILE* file = std::fopen(path.c_str(), "r");
  if (file == nullptr) return std::nullopt;
  char text[256] = {};
  const size_t size = std::fread(text, 1, sizeof(text) - 1, file);
  std::fclose(file);
  std::string key(text, size);
  while (!key.empty() && (key.back() == '\n' || key.back() == '\r')) {
    key.pop_back();
  }
  return key;
}

/// Prints an error.
/// @return the exit code for an invalid command line
int FailUsage(const std::string& text) {
  std::fprintf(stderr, "wisteriactl: %s\n", text.c_str());
  return static_cast<int>(exit_code::kUsage);
}

int Run(const std::vector<std::string>& words) {
  if (FLAGS_output != "table" && FLAGS_output != "json") {
    return FailUsage("--output must be table or json");
  }
  client_options options;
  const std::optional<std::vector<net::endpoint>> routers =
      ParseEndpoints(FLAGS_routers);
  if (!routers) return FailUsage(common::LastError().text);
  options.routers = *routers;
  const std::optional<std::string> key = ReadKey(FLAGS_key_file);
  if (!key) return FailUsage("cannot read " + FLAGS_key_file);
  options.key = *key;
  options.operator_name = FLAGS_operator;
  options.timeout = common::milliseconds(FLAGS_timeout_ms);
  std::optional<router_client> client =
      router_client::Create(std::move(options));
  if (!client) return FailUsage(common::LastError().text);
  const output_format format =
      FLAGS_output == "json" ? output_format::kJson : output_format::kTable;
  return static_cast<int>(RunCommand(words, *client, format));
}

}  // namespace
}  // namespace wisteriadale::ctl

int main(int argc, char** argv) {
  const std::string about =
      "the operators' command line\n\n" + wisteriadale::ctl::CommandHelp();
  if (!wisteriadale::settings::ParseCommandLine(&argc, &argv, "wisteriactl",
                                                about)) {
    return 0;
  }
  return wisteriadale::ctl::Run(
      std::vector<std::string>(argv + 1, argv + argc));
}
