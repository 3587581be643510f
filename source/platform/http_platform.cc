#include "platform/http_platform.h"

#include <nlohmann/json.hpp>

#include "net/http_client.h"

namespace wisteriadale::platform {
namespace {

using nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;

std::string EscapePath(std::string_view text) {
  constexpr char kDigits[] = "0123456789ABCDEF";
  std::string escaped;
  for (const char c : text) {
    const bool plain = std::isalnum(static_cast<unsigned char>(c)) != 0 ||
                       c == '/' || c == '-' || c == '_' || c == '.';
    if (plain) {
      escaped.push_back(c);
      continue;
    }
    const unsigned char byte = static_cast<unsigned char>(c);
    escaped.push_back('%');
    escaped.push_back(kDigits[byte >> 4]);
    escaped.push_back(kDigits[byte & 0xf]);
  }
  return escaped;
}

core::table_row RowOf(const json& from, std::string_view key) {
  core::table_row row;
  row.key = from.value("key", std::string(key));
  row.value = from.value("value", "");
  row.version = from.value("version", uint64_t{0});
  return row;
}

core::table_result AnswerOf(const net::http_result& result,
                            std::string_view key) {
  core::table_result answer;
  answer.row.key = key;
  if (!result.complete) return answer;
  if (result.status == kStatusNotFound) {
    answer.status = core::table_status::kOk;
    return answer;
  }
  const json body = json::parse(result.body, nullptr, false);
  if (!body.is_object()) return answer;
  if (result.status == kStatusOk) {
    answer.status = core::table_status::kOk;
  } else if (result.status == kStatusConflict) {
    answer.status = core::table_status::kConflict;
  } else {
    return answer;
  }
  answer.row = RowOf(body, key);
  return answer;
}

class http_table final : public core::table {
 public:
  http_table(net::event_loop& loop, const platform_options& options)
      : loop_(loop), options_(options) {}

  void Read(std::string_view key, core::table_priority,
            core::table_handler handler) override {
    net::http_call call = CallFor("GET", "/table/" + EscapePath(key));
    net::StartHttpCall(
        loop_, std::move(call),
        [key = std::string(key), handler](const net::http_result& result) {
          handler(AnswerOf(result, key));
        });
  }

  void Write(std::string_view key, uint64_t expected_version,
             std::string_view value, core::table_priority,
             core::table_handler handler) override {
    net::http_call call = CallFor("PUT", "/table/" + EscapePath(key));
    call.body =
        json{{"expected_version", expected_version}, {"value", value}}.dump();
    net::StartHttpCall(
        loop_, std::move(call),
        [key = std::string(key), handler](const net::http_result& result) {
          handler(AnswerOf(result, key));
        });
  }

  void WriteBatch(const std::vector<core::table_write>& writes,
                  core::table_priority,
                  core::table_batch_handler handler) override {
    json rows = json::array();
    for (const core::table_write& write : writes) {
      rows.push_back({{"key", write.key},
                      {"expected_version", write.expected_version},
                      {"value", write.value}});
    }
    net::http_call call = CallFor("POST", "/table-batch");
    call.body = json{{"writes", std::move(rows)}}.dump();
    net::StartHttpCall(
        loop_, std::move(call),
        [size = writes.size(), handler](const net::http_result& result) {
          handler(BatchAnswerOf(result, size));
        });
  }

  void List(std::string_view prefix, uint32_t limit,
            core::table_priority priority,
            core::table_list_handler handler) override {
    ListAfter(prefix, "", limit, priority, std::move(handler));
  }

  void ListAfter(std::string_view prefix, std::string_view after,
                 uint32_t limit, core::table_priority,
                 core::table_list_handler handler) override {
    std::string path = "/table?prefix=" + EscapePath(prefix) +
                       "&limit=" + std::to_string(limit);
    if (!after.empty()) path += "&after=" + EscapePath(after);
    net::http_call call = CallFor("GET", std::move(path));
    net::StartHttpCall(loop_, std::move(call),
                       [handler](const net::http_result& result) {
                         handler(ListAnswerOf(result));
                       });
  }

 private:
  static std::vector<core::table_result> BatchAnswerOf(
      const net::http_result& result, size_t size) {
    std::vector<core::table_result> answers(size);
    const json body = json::parse(result.body, nullptr, false);
    if (result.status != kStatusOk || !body.is_object()) return answers;
    const json rows = body.value("rows", json::array());
    if (rows.size() != size) return answers;
    for (size_t i = 0; i < size; ++i) {
      const bool written = rows[i].value("status", "") == "ok";
      answers[i].status =
          written ? core::table_status::kOk : core::table_status::kConflict;
      answers[i].row = RowOf(rows[i], "");
    }
    return answers;
  }

  static core::table_list_result ListAnswerOf(const net::http_result& result) {
    core::table_list_result answer;
    const json body = json::parse(result.body, nullptr, false);
    if (result.status != kStatusOk || !body.is_object()) return answer;
    answer.status = core::table_status::kOk;
    for (const json& row : body.value("rows", json::array())) {
      answer.rows.push_back(RowOf(row, ""));
    }
    return answer;
  }

  net::http_call CallFor(std::string method, std::string path) const {
    net::http_call call;
    call.method = std::move(method);
    call.to = options_.address;
    call.path = std::move(path);
    call.timeout = options_.timeout;
    return call;
  }

  net::event_loop& loop_;
  platform_options options_;
};

class http_object_store final : public core::object_store {
 public:
  http_object_store(net::event_loop& loop, const platform_options& options)
      : loop_(loop), options_(options) {}

  void Get(std::string_view name,
           std::function<void(std::optional<std::string>)> handler) override {
    net::http_call call;
    call.to = options_.address;
    call.path = "/objects/" + EscapePath(name);
    call.timeout = options_.timeout;
    net::StartHttpCall(loop_, std::move(call),
                       [handler](const net::http_result& result) {
                         if (!result.complete || result.status != kStatusOk) {
                           handler(std::nullopt);
                           return;
                         }
                         handler(result.body);
                       });
  }

  void Put(std::string_view name, std::string_view data,
           std::function<void(bool)> handler) override {
    net::http_call call;
    call.method = "PUT";
    call.to = options_.address;
    call.path = "/objects/" + EscapePath(name);
    call.body = data;
    call.timeout = options_.timeout;
    net::StartHttpCall(loop_, std::move(call),
                       [handler](const net::http_result& result) {
                         handler(result.complete && result.status == kStatusOk);
                       });
  }

 private:
  net::event_loop& loop_;
  platform_options options_;
};

std::optional<std::vector<core::vm_entry>> VmsOf(
    const net::http_result& result) {
  const json body = json::parse(result.body, nullptr, false);
  if (result.status != kStatusOk || !body.is_object()) return std::nullopt;
  std::vector<core::vm_entry> entries;
  for (const json& from : body.value("vms", json::array())) {
    core::vm_entry entry;
    entry.name = from.value("name", "");
    entry.role = from.value("role", "target") == "router"
                     ? core::vm_role::kRouter
                     : core::vm_role::kTarget;
    entry.state = from.value("state", "live") == "leaving"
                      ? core::vm_state::kLeaving
                      : core::vm_state::kLive;
    entry.pool = from.value("pool", "");
    entry.data_centre = from.value("data_centre", "");
    entry.address = from.value("address", "");
    entry.port = from.value("port", uint16_t{0});
    entries.push_back(entry);
  }
  return entries;
}

class http_vm_list final : public core::vm_list {
 public:
  http_vm_list(net::event_loop& loop, const platform_options& options)
      : loop_(loop), options_(options) {}

  void Fetch(std::function<void(std::optional<std::vector<core::vm_entry>>)>
                 handler) override {
    net::http_call call;
    call.to = options_.address;
    call.path = "/vms";
    call.timeout = options_.timeout;
    net::StartHttpCall(
        loop_, std::move(call),
        [handler](const net::http_result& result) { handler(VmsOf(result)); });
  }

 private:
  net::event_loop& loop_;
  platform_options options_;
};

}  // namespace

std::unique_ptr<core::table> MakeHttpTable(net::event_loop& loop,
                                           const platform_options& options) {
  return std::make_unique<http_table>(loop, options);
}

std::unique_ptr<core::object_store> MakeHttpObjectStore(
    net::event_loop& loop, const platform_options& options) {
  return std::make_unique<http_object_store>(loop, options);
}

std::unique_ptr<core::vm_list> MakeHttpVmList(net::event_loop& loop,
                                              const platform_options& options) {
  return std::make_unique<http_vm_list>(loop, options);
}

}  // namespace wisteriadale::platform
