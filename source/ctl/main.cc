#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>

#include "common/last_reason.h"
#include "net/http_client.h"

DEFINE_string(router, "127.0.0.1:8080", "address and port of a router");
DEFINE_string(key, "", "operators' key");
DEFINE_int64(expected_version, 0,
             "version that `configuration apply` replaces");

namespace wisteriadale::ctl {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

net::http_result Call(net::http_call call) {
  net::http_result answer;
  const std::optional<std::unique_ptr<net::event_loop>> loop =
      net::event_loop::Create({});
  if (!loop) return answer;
  const size_t colon = FLAGS_router.rfind(':');
  call.to.address = FLAGS_router.substr(0, colon);
  call.to.port =
      static_cast<uint16_t>(std::stoi(FLAGS_router.substr(colon + 1)));
  if (!FLAGS_key.empty()) {
    call.headers.push_back({"authorization", "Bearer " + FLAGS_key});
  }
  net::StartHttpCall(**loop, std::move(call),
                     [&answer, &loop](const net::http_result& result) {
                       answer = result;
                       (*loop)->Stop();
                     });
  (*loop)->Run();
  return answer;
}

int Print(const net::http_result& answer) {
  std::printf("%s\n", answer.body.c_str());
  if (!answer.failure.empty()) {
    std::fprintf(stderr, "wisteriactl: %s\n", answer.failure.c_str());
  }
  return answer.status == 200 ? kExitOk : kExitFailed;
}

int Get(const std::string& what) {
  net::http_call call;
  call.path = "/v1/operator/" + what;
  return Print(Call(std::move(call)));
}

int ApplyConfiguration(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    std::fprintf(stderr, "wisteriactl: cannot read %s\n", path.c_str());
    return kExitUsage;
  }
  std::stringstream text;
  text << file.rdbuf();
  net::http_call call;
  call.method = "PUT";
  call.path = "/v1/operator/configuration?expected_version=" +
              std::to_string(FLAGS_expected_version);
  call.body = text.str();
  return Print(Call(std::move(call)));
}

int Run(int argc, char** argv) {
  const std::string command = argc > 1 ? argv[1] : "";
  const std::string verb = argc > 2 ? argv[2] : "";
  if (command == "status" || command == "targets") return Get(command);
  if (command == "configuration" && verb == "get") return Get(command);
  if (command == "configuration" && verb == "apply" && argc > 3) {
    return ApplyConfiguration(argv[3]);
  }
  std::fputs(
      "usage: wisteriactl status | targets | configuration get |\n"
      "       configuration apply FILE\n",
      stderr);
  return kExitUsage;
}

}  // namespace
}  // namespace wisteriadale::ctl

int main(int argc, char** argv) {
  gflags::SetVersionString(WISTERIADALE_VERSION);
  gflags::SetUsageMessage(
      "wisteriactl COMMAND: presets, configuration, status");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return wisteriadale::ctl::Run(argc, argv);
}
