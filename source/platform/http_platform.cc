#include "platform/http_platform.h"

#include <nlohmann/json.hpp>

#include "common/log.h"
#include "net/http_client.h"

namespace wisteriadale::platform {
namespace {

using nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;

/// @return the text, percent-encoded except for slashes and unreserved
/// characters
std::string EscapePath(std::string_view text) {
  constexpr char kHexDigits[] = "0123456789ABCDEF";
  std::string escaped;
  for (const char character : text) {
    const bool unreserved =
        std::isalnum(static_cast<unsigned char>(character)) != 0 ||
        character == '/' || character == '-' || character == '_' ||
        character == '.';
    if (unreserved) {
      escaped.push_back(character);
      continue;
    }
    const unsigned char byte = static_cast<unsigned char>(character);
    escaped.push_back('%');
    escaped.push_back(kHexDigits[byte >> 4]);
    escaped.push_back(kHexDigits[byte & 0xf]);
  }
  return escaped;
}

/// Logs a response whose values have other types than expected.
void LogMalformed(const json::exception& error) {
  common::Log(
      common::log_channel::kPlatform, common::log_level::kWarning,
      std::string("malformed response of the platform: ") + error.what());
}

/// @return the text; invalid UTF-8 is replaced, as JSON cannot hold it
std::string ToText(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

core::table_row ParseRow(const json& source, std::string_view key) {
  core::table_row row;
  row.key = source.value("key", std::string(key));
  row.value = source.value("value", "");
  row.version = source.value("version", uint64_t{0});
  return row;
}

/// @param key of the row that was read or written
/// @return the result; unavailable if the response is incomplete or malformed
core::table_result ParseRowResult(const net::http_result& response,
                                  std::string_view key) {
  core::table_result result;
  result.row.key = key;
  if (!response.complete) return result;
  if (response.status == kStatusNotFound) {
    result.status = core::table_status::kOk;
    return result;
  }
  const json body = json::parse(response.body, nullptr, false);
  if (!body.is_object()) return result;
  if (response.status != kStatusOk && response.status != kStatusConflict) {
    return result;
  }
  try {
    result.row = ParseRow(body, key);
  } catch (const json::exception& error) {
    LogMalformed(error);
    return result;
  }
  result.status = response.status == kStatusOk ? core::table_status::kOk
                                               : core::table_status::kConflict;
  return result;
}

class http_table final : public core::table {
 public:
  http_table(net::event_loop& loop, const platform_options& options)
      : loop_(loop), options_(options) {}

  void Read(std::string_view key, core::table_priority,
            core::table_handler handler) override {
    net::http_call call = MakeCall("GET", "/table/" + EscapePath(key));
    net::StartHttpCall(
        loop_, std::move(call),
        [key = std::string(key), handler](const net::http_result& response) {
          handler(ParseRowResult(response, key));
        });
  }

  void Write(std::string_view key, uint64_t expected_version,
             std::string_view value, core::table_priority,
             core::table_handler handler) override {
    net::http_call call = MakeCall("PUT", "/table/" + EscapePath(key));
    call.body =
        ToText({{"expected_version", expected_version}, {"value", value}});
    net::StartHttpCall(
        loop_, std::move(call),
        [key = std::string(key), handler](const net::http_result& response) {
          handler(ParseRowResult(response, key));
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
    net::http_call call = MakeCall("POST", "/table-batch");
    call.body = ToText({{"writes", std::move(rows)}});
    net::StartHttpCall(
        loop_, std::move(call),
        [size = writes.size(), handler](const net::http_result& response) {
          handler(ParseBatchResult(response, size));
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
    net::http_call call = MakeCall("GET", std::move(path));
    net::StartHttpCall(loop_, std::move(call),
                       [handler](const net::http_result& response) {
                         handler(ParseListResult(response));
                       });
  }

 private:
  static std::vector<core::table_result> ParseBatchResult(
      const net::http_result& response, size_t size) {
    std::vector<core::table_result> results(size);
    const json body = json::parse(response.body, nullptr, false);
    if (response.status != kStatusOk || !body.is_object()) return results;
    const json rows = body.value("rows", json::array());
    if (rows.size() != size) return results;
    std::vector<core::table_result> parsed(size);
    try {
      for (size_t i = 0; i < size; ++i) {
        const bool written = rows.at(i).value("status", "") == "ok";
        parsed[i].status =
            written ? core::table_status::kOk : core::table_status::kConflict;
        parsed[i].row = ParseRow(rows[i], "");
      }
    } catch (const json::exception& error) {
      LogMalformed(error);
      return results;
    }
    return parsed;
  }

  static core::table_list_result ParseListResult(
      const net::http_result& response) {
    core::table_list_result result;
    const json body = json::parse(response.body, nullptr, false);
    if (response.status != kStatusOk || !body.is_object()) return result;
    try {
      for (const json& row : body.value("rows", json::array())) {
        result.rows.push_back(ParseRow(row, ""));
      }
    } catch (const json::exception& error) {
      LogMalformed(error);
      return {};
    }
    result.status = core::table_status::kOk;
    return result;
  }

  net::http_call MakeCall(std::string method, std::string path) const {
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
    net::StartHttpCall(
        loop_, std::move(call), [handler](const net::http_result& response) {
          if (!response.complete || response.status != kStatusOk) {
            handler(std::nullopt);
            return;
          }
          handler(response.body);
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
    net::StartHttpCall(
        loop_, std::move(call), [handler](const net::http_result& response) {
          handler(response.complete && response.status == kStatusOk);
        });
  }

 private:
  net::event_loop& loop_;
  platform_options options_;
};

/// @return the VMs, or nothing if the response is an error or malformed
std::optional<std::vector<core::vm_entry>> ParseVmList(
    const net::http_result& response) {
  const json body = json::parse(response.body, nullptr, false);
  if (response.status != kStatusOk || !body.is_object()) return std::nullopt;
  std::vector<core::vm_entry> entries;
  try {
    for (const json& vm : body.value("vms", json::array())) {
      core::vm_entry entry;
      entry.name = vm.value("name", "");
      entry.role = vm.value("role", "target") == "router"
                       ? core::vm_role::kRouter
                       : core::vm_role::kTarget;
      entry.state = vm.value("state", "live") == "leaving"
                        ? core::vm_state::kLeaving
                        : core::vm_state::kLive;
      entry.pool = vm.value("pool", "");
      entry.data_centre = vm.value("data_centre", "");
      entry.address = vm.value("address", "");
      entry.port = vm.value("port", uint16_t{0});
      entries.push_back(entry);
    }
  } catch (const json::exception& error) {
    LogMalformed(error);
    return std::nullopt;
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
    net::StartHttpCall(loop_, std::move(call),
                       [handler](const net::http_result& response) {
                         handler(ParseVmList(response));
                       });
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
