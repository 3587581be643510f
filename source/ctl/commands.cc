#include "ctl/commands.h"

#include <array>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "ctl/document_diff.h"
#include "ctl/table_output.h"

namespace wisteriadale::ctl {
namespace {

using nlohmann::json;

constexpr char kBase[] = "/v1/operator/";

/// What a command works with.
struct invocation {
  std::span<const std::string> arguments;  ///< after command and verb
  router_client& client;
  output_format format;
};

/// One command of the command line.
struct command {
  std::string_view name;
  std::string_view verb;  ///< empty: the command has none
  size_t least_arguments;
  std::string_view arguments;
  std::string_view help;
  exit_code (*run)(const invocation& call);
};

void Show(const invocation& call, const std::string& body) {
  if (call.format == output_format::kJson) {
    std::printf("%s\n", body.c_str());
    return;
  }
  std::fputs(RenderAnswer(body).c_str(), stdout);
}

/// @param body JSON text of a refusal, or empty when no router answered
void ShowFailure(const router_answer& answer) {
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

exit_code Finish(const invocation& call, const router_answer& answer) {
  const exit_code code = answer.ToExitCode();
  if (code == exit_code::kOk) {
    Show(call, answer.body);
  } else {
    ShowFailure(answer);
    if (call.format == output_format::kJson && !answer.body.empty()) {
      std::printf("%s\n", answer.body.c_str());
    }
  }
  return code;
}

exit_code Get(const invocation& call, std::string_view path) {
  return Finish(call, call.client.Call("GET", kBase + std::string(path)));
}

exit_code Post(const invocation& call, std::string_view path,
               const json& body) {
  return Finish(
      call, call.client.Call("POST", kBase + std::string(path), body.dump()));
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

/// @return the configuration in force, or nothing after showing why not
std::optional<json> CurrentConfiguration(const invocation& call,
                                         exit_code* code) {
  const router_answer answer =
      call.client.Call("GET", std::string(kBase) + "configuration");
  *code = answer.ToExitCode();
  if (*code != exit_code::kOk) {
    ShowFailure(answer);
    return std::nullopt;
  }
  return json::parse(answer.body, nullptr, false);
}

exit_code Offer(const invocation& call, const std::string& document,
                uint64_t expected_version) {
  return Finish(call, call.client.Call("PUT",
                                       std::string(kBase) +
                                           "configuration?expected_version=" +
                                           std::to_string(expected_version),
                                       document));
}

/// @return the version in force; 0 when there is no configuration yet
uint64_t CurrentVersion(const invocation& call) {
  const router_answer answer =
      call.client.Call("GET", std::string(kBase) + "configuration");
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
  Show(call, json{{"version", (*current)["version"]},
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
  return Offer(call, document.dump(), (*current)["version"].get<uint64_t>());
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
  return Offer(call, *document, expected);
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
  Show(call, json{{"changes", rows}}.dump());
  return exit_code::kOk;
}

exit_code ConfigurationHistory(const invocation& call) {
  return Get(call, "configuration/history");
}

exit_code GetOperation(const invocation& call) {
  return Get(call, "operations/" + call.arguments[0] + "/" + call.arguments[1]);
}

exit_code ListDoubts(const invocation& call) {
  return Get(call, "operations/in-doubt");
}

exit_code SettleOperation(const invocation& call) {
  if (call.client.operator_name().empty()) {
    std::fputs("wisteriactl: settling by hand needs --operator\n", stderr);
    return exit_code::kUsage;
  }
  const std::string row =
      "operations/" + call.arguments[0] + "/" + call.arguments[1];
  const router_answer seen = call.client.Call("GET", kBase + row);
  if (seen.ToExitCode() != exit_code::kOk) return Finish(call, seen);
  const json record = json::parse(seen.body, nullptr, false);
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

constexpr std::array kCommands = {
    command{"status", "", 0, "", "what a router knows and whether it is ready",
            Status},
    command{"targets", "", 0, "", "targets with their state and load", Targets},
    command{"preset", "get", 0, "", "the preset in force, and the others",
            GetPreset},
    command{"preset", "set", 1, "NAME", "put another preset in force",
            SetPreset},
    command{"configuration", "get", 0, "", "the configuration in force",
            GetConfiguration},
    command{"configuration", "apply", 1, "FILE [VERSION]",
            "offer a document in place of VERSION (default: the one in force)",
            ApplyConfiguration},
    command{"configuration", "diff", 1, "FILE", "what a document would change",
            DiffConfiguration},
    command{"configuration", "history", 0, "", "accepted versions",
            ConfigurationHistory},
    command{"operations", "get", 2, "ORGANISATION KEY",
            "what became of an operation", GetOperation},
    command{"operations", "in-doubt", 0, "",
            "operations whose outcome is not known", ListDoubts},
    command{"operations", "settle", 3, "ORGANISATION KEY done|not_run",
            "settle an operation in doubt by hand", SettleOperation},
    command{"drain", "", 1, "TARGET", "stop giving work to a target",
            DrainTarget},
    command{"undrain", "", 1, "TARGET", "give work to a target again",
            UndrainTarget},
    command{"orders", "list", 0, "", "orders sent to targets", ListOrders},
    command{"orders", "send", 2, "TARGET KIND [ARGUMENT]",
            "order a target to load or unload a model, or change its role",
            SendOrder},
    command{"quarantine", "list", 0, "", "request digests that are refused",
            ListQuarantine},
    command{"quarantine", "lift", 1, "DIGEST", "accept a digest again",
            LiftQuarantine},
};

const command* FindCommand(std::span<const std::string> words) {
  for (const command& known : kCommands) {
    if (words.empty() || known.name != words[0]) continue;
    if (known.verb.empty()) return &known;
    if (words.size() > 1 && known.verb == words[1]) return &known;
  }
  return nullptr;
}

}  // namespace

std::string CommandHelp() {
  std::string help;
  for (const command& known : kCommands) {
    std::string usage(known.name);
    if (!known.verb.empty()) usage.append(" ").append(known.verb);
    if (!known.arguments.empty()) usage.append(" ").append(known.arguments);
    constexpr size_t kUsageWidth = 48;
    if (usage.size() < kUsageWidth) usage.resize(kUsageWidth, ' ');
    help.append("  ").append(usage).append(" ").append(known.help).append("\n");
  }
  return help;
}

exit_code RunCommand(std::span<const std::string> words, router_client& client,
                     output_format format) {
  const command* found = FindCommand(words);
  if (found == nullptr) {
    std::fprintf(stderr, "wisteriactl: no such command; there are:\n%s",
                 CommandHelp().c_str());
    return exit_code::kUsage;
  }
  const std::span<const std::string> arguments =
      words.subspan(found->verb.empty() ? 1 : 2);
  if (arguments.size() < found->least_arguments) {
    std::fprintf(stderr, "wisteriactl: %s %s needs %s\n",
                 std::string(found->name).c_str(),
                 std::string(found->verb).c_str(),
                 std::string(found->arguments).c_str());
    return exit_code::kUsage;
  }
  return found->run(invocation{arguments, client, format});
}

}  // namespace wisteriadale::ctl
