#include "ctl/commands.h"

#include <array>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "ctl/check_routes.h"
#include "ctl/document_diff.h"
#include "ctl/table_output.h"

namespace wisteriadale::ctl {
namespace {

using nlohmann::json;

constexpr char kApiPrefix[] = "/v1/operator/";

/// The parameters of a command.
struct invocation {
  std::span<const std::string> arguments;  ///< after command and verb
  router_client& client;
  output_format format;
};

/// A command of wisteriactl, with its help text.
struct command {
  std::string_view name;
  std::string_view verb;  ///< empty: a command without verbs
  size_t min_arguments;
  std::string_view arguments;
  std::string_view help;
  exit_code (*run)(const invocation& call);
};

void PrintAnswer(const invocation& call, const std::string& body) {
  if (call.format == output_format::kJson) {
    std::printf("%s\n", body.c_str());
    return;
  }
  std::fputs(RenderAnswer(body).c_str(), stdout);
}

/// Prints the error of an answer, or why no router answered, on standard error.
void PrintError(const router_answer& answer) {
  const json parsed = json::parse(answer.body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("error")) {
    std::fprintf(stderr, "wisteriactl: %s %s\n", answer.failure.c_str(),
                 answer.body.c_str());
    return;
  }
  const json& error = parsed["error"];
  std::fprintf(stderr, "wisteriactl: %d %s: %s (outcome: %s)\n",
               error.value("code", 0), error.value("name", "").c_str(),
               error.value("message", "").c_str(),
               error.value("outcome", "").c_str());
}

/// Prints an answer or its error. With JSON output, the body of an error is
/// printed on standard output too.
exit_code PrintResult(const invocation& call, const router_answer& answer) {
  const exit_code code = answer.ToExitCode();
  if (code == exit_code::kOk) {
    PrintAnswer(call, answer.body);
  } else {
    PrintError(answer);
    if (call.format == output_format::kJson && !answer.body.empty()) {
      std::printf("%s\n", answer.body.c_str());
    }
  }
  return code;
}

exit_code Get(const invocation& call, std::string_view path) {
  return PrintResult(call,
                     call.client.Call("GET", kApiPrefix + std::string(path)));
}

exit_code Post(const invocation& call, std::string_view path,
               const json& body) {
  return PrintResult(
      call,
      call.client.Call("POST", kApiPrefix + std::string(path), body.dump()));
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    std::fprintf(stderr, "wisteriactl: cannot read %s\n", path.c_str());
    return std::nullopt;
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Reads the active configuration.
/// @param code is set to how the call ended
/// @return the configuration, or nothing after printing the error
std::optional<json> CurrentConfiguration(const invocation& call,
                                         exit_code* code) {
  const router_answer answer =
      call.client.Call("GET", std::string(kApiPrefix) + "configuration");
  *code = answer.ToExitCode();
  if (*code != exit_code::kOk) {
    PrintError(answer);
    return std::nullopt;
  }
  return json::parse(answer.body, nullptr, false);
}

/// Replaces the configuration if the active version is still the expected one.
exit_code PutConfiguration(const invocation& call, const std::string& document,
                           uint64_t expected_version) {
  return PrintResult(call,
                     call.client.Call("PUT",
                                      std::string(kApiPrefix) +
                                          "configuration?expected_version=" +
                                          std::to_string(expected_version),
                                      document));
}

/// @return the active version; 0 when there is no configuration yet
uint64_t CurrentVersion(const invocation& call) {
  const router_answer answer =
      call.client.Call("GET", std::string(kApiPrefix) + "configuration");
  const json parsed = json::parse(answer.body, nullptr, false);
  return parsed.is_object() ? parsed.value("version", uint64_t{0}) : 0;
}

exit_code Status(const invocation& call) { return Get(call, "status"); }
exit_code Targets(const invocation& call) { return Get(call, "targets"); }

exit_code GetPreset(const invocation& call) {
  exit_code code = exit_code::kOk;
  const std::optional<json> current = CurrentConfiguration(call, &code);
  if (!current) return code;
  const json& document = (*current)["document"];
  json names = json::array();
  for (const auto& [name, preset] : document["presets"].items()) {
    names.push_back(
        {{"preset", name}, {"in_force", name == document["preset"]}});
  }
  PrintAnswer(call, json{{"version", (*current)["version"]},
                         {"preset", document["preset"]},
                         {"presets", names}}
                        .dump());
  return exit_code::kOk;
}

exit_code SetPreset(const invocation& call) {
  exit_code code = exit_code::kOk;
  std::optional<json> current = CurrentConfiguration(call, &code);
  if (!current) return code;
  json& document = (*current)["document"];
  document["preset"] = call.arguments[0];
  return PutConfiguration(call, document.dump(),
                          (*current)["version"].get<uint64_t>());
}

exit_code GetConfiguration(const invocation& call) {
  exit_code code = exit_code::kOk;
  const std::optional<json> current = CurrentConfiguration(call, &code);
  if (!current) return code;
  if (call.format == output_format::kJson) {
    std::printf("%s\n", current->dump().c_str());
  } else {
    constexpr int kIndent = 2;
    std::printf("version %s\n%s\n", (*current)["version"].dump().c_str(),
                (*current)["document"].dump(kIndent).c_str());
  }
  return exit_code::kOk;
}

exit_code ApplyConfiguration(const invocation& call) {
  const std::optional<std::string> document = ReadFile(call.arguments[0]);
  if (!document) return exit_code::kUsage;
  const uint64_t expected =
      call.arguments.size() > 1
          ? std::strtoull(call.arguments[1].c_str(), nullptr, 10)
          : CurrentVersion(call);
  return PutConfiguration(call, *document, expected);
}

exit_code DiffConfiguration(const invocation& call) {
  const std::optional<std::string> document = ReadFile(call.arguments[0]);
  if (!document) return exit_code::kUsage;
  if (!json::accept(*document)) {
    std::fprintf(stderr, "wisteriactl: %s is not JSON\n",
                 call.arguments[0].c_str());
    return exit_code::kRefused;
  }
  exit_code code = exit_code::kOk;
  const std::optional<json> current = CurrentConfiguration(call, &code);
  if (!current) return code;
  json rows = json::array();
  for (const document_change& change :
       DiffDocuments((*current)["document"].dump(), *document)) {
    rows.push_back({{"pointer", change.pointer},
                    {"before", change.before},
                    {"after", change.after}});
  }
  PrintAnswer(call, json{{"changes", rows}}.dump());
  return exit_code::kOk;
}

exit_code ConfigurationHistory(const invocation& call) {
  return Get(call, "configuration/history");
}

exit_code GetOperation(const invocation& call) {
  return Get(call, "operations/" + call.arguments[0] + "/" + call.arguments[1]);
}

exit_code ListInDoubt(const invocation& call) {
  return Get(call, "operations/in-doubt");
}

exit_code SettleOperation(const invocation& call) {
  if (call.client.operator_name().empty()) {
    std::fputs("wisteriactl: operations settle requires --operator\n", stderr);
    return exit_code::kUsage;
  }
  const std::string row =
      "operations/" + call.arguments[0] + "/" + call.arguments[1];
  const router_answer state = call.client.Call("GET", kApiPrefix + row);
  if (state.ToExitCode() != exit_code::kOk) return PrintResult(call, state);
  const json record = json::parse(state.body, nullptr, false);
  return Post(call, "operations/settle",
              {{"operation", row},
               {"version", record.value("version", uint64_t{0})},
               {"operator", call.client.operator_name()},
               {"outcome", call.arguments[2]}});
}

exit_code DrainTarget(const invocation& call) {
  return Post(call, "drain", {{"target", call.arguments[0]}});
}

exit_code UndrainTarget(const invocation& call) {
  return Post(call, "undrain", {{"target", call.arguments[0]}});
}

exit_code ListOrders(const invocation& call) { return Get(call, "orders"); }

exit_code SendOrder(const invocation& call) {
  const std::string argument =
      call.arguments.size() > 2 ? call.arguments[2] : "";
  return Post(call, "orders",
              {{"target", call.arguments[0]},
               {"kind", call.arguments[1]},
               {"argument", argument}});
}

exit_code ListQuarantine(const invocation& call) {
  return Get(call, "quarantine");
}

exit_code LiftQuarantine(const invocation& call) {
  return Post(call, "quarantine/lift", {{"digest", call.arguments[0]}});
}

exit_code CheckRoutesFile(const invocation& call) {
  const std::optional<std::string> document = ReadFile(call.arguments[0]);
  if (!document) return exit_code::kUsage;
  std::optional<std::string> in_force = std::string();
  if (call.arguments.size() > 1) in_force = ReadFile(call.arguments[1]);
  if (!in_force) return exit_code::kUsage;
  const routes_report report = CheckRoutesText(*document, *in_force);
  const std::string text = call.format == output_format::kJson
                               ? report.ToJson() + "\n"
                               : report.ToText();
  std::fputs(text.c_str(), stdout);
  return report.ToExitCode();
}

constexpr std::array kCommands = {
    command{"status", "", 0, "", "state and readiness of a router", Status},
    command{"targets", "", 0, "", "targets with their state and load", Targets},
    command{"preset", "get", 0, "", "the active preset, and the others",
            GetPreset},
    command{"preset", "set", 1, "NAME", "activate another preset", SetPreset},
    command{"configuration", "get", 0, "", "the active configuration",
            GetConfiguration},
    command{"configuration", "apply", 1, "FILE [VERSION]",
            "replace VERSION (default: the active one) by a document",
            ApplyConfiguration},
    command{"configuration", "diff", 1, "FILE",
            "changes that a document would make", DiffConfiguration},
    command{"configuration", "history", 0, "", "accepted versions",
            ConfigurationHistory},
    command{"routes", "check", 1, "FILE [FILE_IN_FORCE]",
            "errors in a platform's document of routes, and what it changes",
            CheckRoutesFile},
    command{"operations", "get", 2, "ORGANISATION KEY", "state of an operation",
            GetOperation},
    command{"operations", "in-doubt", 0, "", "operations with unknown outcome",
            ListInDoubt},
    command{"operations", "settle", 3, "ORGANISATION KEY done|not_run",
            "record the outcome of an operation in doubt", SettleOperation},
    command{"drain", "", 1, "TARGET", "stop routing work to a target",
            DrainTarget},
    command{"undrain", "", 1, "TARGET", "resume routing work to a target",
            UndrainTarget},
    command{"orders", "list", 0, "", "orders sent to targets", ListOrders},
    command{"orders", "send", 2, "TARGET KIND [ARGUMENT]",
            "order a target to load or unload a model, or change its role",
            SendOrder},
    command{"quarantine", "list", 0, "", "digests of quarantined requests",
            ListQuarantine},
    command{"quarantine", "lift", 1, "DIGEST",
            "lift the quarantine of a digest", LiftQuarantine},
};

const command* FindCommand(std::span<const std::string> words) {
  for (const command& entry : kCommands) {
    if (words.empty() || entry.name != words[0]) continue;
    if (entry.verb.empty()) return &entry;
    if (words.size() > 1 && entry.verb == words[1]) return &entry;
  }
  return nullptr;
}

}  // namespace

std::string CommandHelp() {
  std::string help;
  for (const command& entry : kCommands) {
    std::string usage(entry.name);
    if (!entry.verb.empty()) usage.append(" ").append(entry.verb);
    if (!entry.arguments.empty()) usage.append(" ").append(entry.arguments);
    constexpr size_t kUsageWidth = 48;
    if (usage.size() < kUsageWidth) usage.resize(kUsageWidth, ' ');
    help.append("  ").append(usage).append(" ").append(entry.help).append("\n");
  }
  return help;
}

exit_code RunCommand(std::span<const std::string> words, router_client& client,
                     output_format format) {
  const command* found = FindCommand(words);
  if (found == nullptr) {
    std::fprintf(stderr, "wisteriactl: unknown command; commands are:\n%s",
                 CommandHelp().c_str());
    return exit_code::kUsage;
  }
  const std::span<const std::string> arguments =
      words.subspan(found->verb.empty() ? 1 : 2);
  if (arguments.size() < found->min_arguments) {
    std::fprintf(stderr, "wisteriactl: %s %s requires %s\n",
                 std::string(found->name).c_str(),
                 std::string(found->verb).c_str(),
                 std::string(found->arguments).c_str());
    return exit_code::kUsage;
  }
  return found->run(invocation{arguments, client, format});
}

}  // namespace wisteriadale::ctl
