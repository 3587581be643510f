#include "platform/http_row_store.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <unordered_map>

#include "common/log.h"
#include "net/base64.h"

namespace wisteriadale::platform {
namespace {

using core::row_store_status;
using nlohmann::json;

constexpr int kStatusPreconditionFailed = 412;
constexpr int kStatusGone = 410;
constexpr size_t kRowsPerPage = 500;
// The store sends at most 1 MB of rows, whose values grow by a third.
constexpr uint64_t kMaxResponseBytes = uint64_t{8} << 20;

void LogWarning(const std::string& text) {
  common::Log(common::log_channel::kPlatform, common::log_level::kWarning,
              text);
}

std::string EscapeQuery(std::string_view text) {
  constexpr char kHexDigits[] = "0123456789ABCDEF";
  std::string escaped;
  for (const char character : text) {
    const unsigned char byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0 || character == '-' || character == '_' ||
        character == '.') {
      escaped.push_back(character);
    } else {
      escaped.push_back('%');
      escaped.push_back(kHexDigits[byte >> 4]);
      escaped.push_back(kHexDigits[byte & 15]);
    }
  }
  return escaped;
}

row_store_status StatusFromHttp(int status) {
  if (status == 200) return row_store_status::kOk;
  if (status == kStatusPreconditionFailed) return row_store_status::kConflict;
  if (status == kStatusGone) return row_store_status::kCompacted;
  return row_store_status::kRefused;
}

/// @return the era that a response states, or 0
uint64_t ParseEra(const net::message_head& head) {
  const std::string* text = head.Find("Store-Era");
  if (text == nullptr) return 0;
  uint64_t era = 0;
  const char* const end = text->data() + text->size();
  const std::from_chars_result parsed = std::from_chars(text->data(), end, era);
  if (parsed.ec == std::errc() && parsed.ptr == end) return era;
  LogWarning("the store's era is not a number");
  return 0;
}

/// @return the row; nothing if it has no key. A value that can't be decoded is
/// logged and becomes empty.
std::optional<core::stored_row> ParseRow(const json& source) {
  if (!source.is_object() || !source.contains("key") ||
      !source["key"].is_string()) {
    LogWarning("skipped a row without a key");
    return std::nullopt;
  }
  core::stored_row row;
  row.key = source["key"].get<std::string>();
  if (source.contains("row-version") &&
      source["row-version"].is_number_unsigned()) {
    row.version = source["row-version"].get<uint64_t>();
  }
  const auto tombstone = source.find("tombstone");
  row.removed = tombstone != source.end() &&
                !(tombstone->is_boolean() && !tombstone->get<bool>());
  if (row.removed) return row;
  const auto value = source.find("value");
  std::optional<std::string> decoded;
  if (value != source.end() && value->is_string()) {
    decoded = net::DecodeBase64(value->get<std::string>());
  }
  if (!decoded) {
    // Logged, since an unreadable value is not the same as an empty one.
    LogWarning("row " + row.key + " has a missing or malformed value");
    decoded.emplace();
  }
  row.value = std::move(*decoded);
  return row;
}

class http_row_store final : public core::row_store {
 public:
  http_row_store(net::event_loop& loop, net::http1_client& client,
                 const net::endpoint& at, common::duration timeout)
      : loop_(loop), client_(client), endpoint_(at), timeout_(timeout) {}

  void ReadTable(std::string_view table,
                 core::row_store_handler handler) override {
    ReadPage(std::string(table), "", std::make_shared<core::row_store_result>(),
             std::move(handler));
  }

  void ReadChanges(std::string_view table, uint64_t after,
                   common::milliseconds wait,
                   core::row_store_handler handler) override {
    std::string target = "/v1/rows-feed?table=" + EscapeQuery(table) +
                         "&after=" + std::to_string(after) +
                         "&wait-ms=" + std::to_string(wait.count());
    Call("GET", std::move(target), "", timeout_ + wait,
         [handler = std::move(handler)](core::row_store_result& result, bool) {
           handler(result);
         });
  }

  void Write(std::string_view table, std::span<const core::row_change> changes,
             core::row_store_handler handler) override {
    json written = json::array();
    json removed = json::array();
    for (const core::row_change& change : changes) {
      json row = {{"table", table}, {"part", ""}, {"key", change.key}};
      if (change.value) {
        row["value"] = net::EncodeBase64(*change.value);
        written.push_back(std::move(row));
      } else {
        removed.push_back(std::move(row));
      }
    }
    const json body = {{"precondition", json::array()},
                       {"set-keys", std::move(written)},
                       {"remove", std::move(removed)}};
    Call("POST", "/v1/rows-tx", body.dump(), timeout_,
         [handler = std::move(handler)](core::row_store_result& result, bool) {
           handler(result);
         });
  }

 private:
  /// @param truncated whether further rows follow on the next page
  using page_handler =
      std::function<void(core::row_store_result& result, bool truncated)>;

  class call final : public net::response_handler {
   public:
    call(http_row_store& owner, page_handler handler)
        : owner_(owner), handler_(std::move(handler)) {}

    void Start(const net::outgoing_request& request) {
      call_ = owner_.client_.Start(request, *this);
    }
    void OnHead(const net::message_head& head) override {
      status_ = head.status;
      era_ = ParseEra(head);
    }
    void OnBody(std::string_view data) override { body_.append(data); }
    void OnComplete() override {
      core::row_store_result result;
      result.status = StatusFromHttp(status_);
      result.at.era = era_;
      bool truncated = false;
      if (result.status == row_store_status::kOk &&
          !ParseBody(&result, &truncated)) {
        LogWarning("malformed response of the store");
        result = core::row_store_result();
      }
      End(result, truncated);
    }
    void OnFailure(net::call_failure) override {
      core::row_store_result result;
      result.status = call_ && call_->sent() ? row_store_status::kNoResponse
                                             : row_store_status::kRefused;
      End(result, false);
    }

   private:
    bool ParseBody(core::row_store_result* result, bool* truncated) const {
      const json body = json::parse(body_, nullptr, false);
      if (!body.is_object() || !body.contains("row-version") ||
          !body["row-version"].is_number_unsigned()) {
        return false;
      }
      result->at.version = body["row-version"].get<uint64_t>();
      if (body.contains("now-ms") && body["now-ms"].is_number_integer()) {
        result->clock = common::milliseconds(body["now-ms"].get<int64_t>());
      }
      *truncated = body.contains("truncated") &&
                   body["truncated"].is_boolean() &&
                   body["truncated"].get<bool>();
      if (!body.contains("rows")) return true;
      if (!body["rows"].is_array()) return false;
      for (const json& row : body["rows"]) {
        std::optional<core::stored_row> parsed = ParseRow(row);
        if (parsed) result->rows.push_back(std::move(*parsed));
      }
      return true;
    }

    void End(core::row_store_result& result, bool truncated) {
      const page_handler handler = std::move(handler_);
      // Destroys this object; nothing of it may be used below.
      owner_.calls_.erase(this);
      handler(result, truncated);
    }

    http_row_store& owner_;
    page_handler handler_;
    std::unique_ptr<net::http1_call> call_;
    int status_ = 0;
    uint64_t era_ = 0;
    std::string body_;
  };

  void Call(std::string method, std::string target, std::string_view body,
            common::duration timeout, page_handler handler) {
    std::unique_ptr<call> started =
        std::make_unique<call>(*this, std::move(handler));
    net::outgoing_request request;
    request.to = endpoint_;
    request.method = std::move(method);
    request.target = std::move(target);
    request.headers = {{"Host", net::FormatEndpoint(endpoint_)}};
    if (!body.empty()) {
      request.headers.push_back({"Content-Type", "application/json"});
    }
    request.body = body;
    request.max_body_bytes = kMaxResponseBytes;
    request.timeout = timeout;
    call* raw = started.get();
    calls_.emplace(raw, std::move(started));
    raw->Start(request);
  }

  void ReadPage(const std::string& table, const std::string& from,
                const std::shared_ptr<core::row_store_result>& all,
                core::row_store_handler handler) {
    std::string target = "/v1/rows-get?table=" + EscapeQuery(table) +
                         "&part=&limit=" + std::to_string(kRowsPerPage);
    if (!from.empty()) target += "&from=" + EscapeQuery(from);
    Call(
        "GET", std::move(target), "", timeout_,
        [this, table, from, all, handler = std::move(handler)](
            core::row_store_result& page, bool truncated) {
          all->status = page.status;
          if (page.status != row_store_status::kOk) {
            all->at.era = page.at.era;
            handler(*all);
            return;
          }
          // The pages of a store that was restored meanwhile do not belong
          // together.
          if (!from.empty() && page.at.era != all->at.era) {
            ReadPage(table, "", std::make_shared<core::row_store_result>(),
                     handler);
            return;
          }
          // Rows may change while pages are read. With the version of the
          // first page, ReadChanges reports every change that a later page may
          // have missed.
          if (from.empty()) {
            all->at = page.at;
            all->clock = page.clock;
          }
          const size_t read_before = all->rows.size();
          for (core::stored_row& row : page.rows) {
            if (row.key != from) all->rows.push_back(std::move(row));
          }
          if (!truncated) {
            handler(*all);
            return;
          }
          if (all->rows.size() == read_before || all->rows.back().key <= from) {
            LogWarning("a page of table " + table + " after key " + from +
                       " does not advance");
            handler(core::row_store_result());
            return;
          }
          ReadPage(table, all->rows.back().key, all, handler);
        });
  }

  net::event_loop& loop_;
  net::http1_client& client_;
  net::endpoint endpoint_;
  common::duration timeout_;
  std::unordered_map<call*, std::unique_ptr<call>> calls_;
};

}  // namespace

std::unique_ptr<core::row_store> MakeHttpRowStore(net::event_loop& loop,
                                                  net::http1_client& client,
                                                  const net::endpoint& at,
                                                  common::duration timeout) {
  return std::make_unique<http_row_store>(loop, client, at, timeout);
}

}  // namespace wisteriadale::platform
