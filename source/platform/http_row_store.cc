#include "platform/http_row_store.h"

#include <nlohmann/json.hpp>
#include <unordered_map>

#include "common/log.h"
#include "net/base64.h"

namespace wisteriadale::platform {
namespace {

using core::row_store_status;
using nlohmann::json;

constexpr int kStatusConflict = 412;
constexpr int kStatusHistoryGone = 410;
constexpr size_t kRowsPerAnswer = 500;

void LogCall(const std::string& text) {
  common::Log(common::log_channel::kPlatform, common::log_level::kWarning,
              text);
}

std::string EscapeQuery(std::string_view text) {
  constexpr char kHex[] = "0123456789ABCDEF";
  std::string out;
  for (const char letter : text) {
    const unsigned char byte = static_cast<unsigned char>(letter);
    if (std::isalnum(byte) != 0 || letter == '-' || letter == '_' ||
        letter == '.') {
      out.push_back(letter);
    } else {
      out.push_back('%');
      out.push_back(kHex[byte >> 4]);
      out.push_back(kHex[byte & 15]);
    }
  }
  return out;
}

row_store_status StatusOf(int status) {
  if (status == 200) return row_store_status::kOk;
  if (status == kStatusConflict) return row_store_status::kConflict;
  if (status == kStatusHistoryGone) return row_store_status::kCompacted;
  return row_store_status::kRefused;
}

/// Reads one row; a row that is malformed is left out with a log line.
std::optional<core::stored_row> RowOf(const json& from) {
  if (!from.is_object() || !from.contains("key") || !from["key"].is_string()) {
    LogCall("left out a row without a key");
    return std::nullopt;
  }
  core::stored_row row;
  row.key = from["key"].get<std::string>();
  if (from.contains("row-version") &&
      from["row-version"].is_number_unsigned()) {
    row.version = from["row-version"].get<uint64_t>();
  }
  const auto tombstone = from.find("tombstone");
  row.removed = tombstone != from.end() &&
                !(tombstone->is_boolean() && !tombstone->get<bool>());
  if (row.removed) return row;
  const auto value = from.find("value");
  std::optional<std::string> decoded;
  if (value != from.end() && value->is_string()) {
    decoded = net::DecodeBase64(value->get<std::string>());
  }
  if (!decoded) {
    // Not a row that says nothing: what it holds cannot be read.
    LogCall("the value of row " + row.key + " cannot be read");
    decoded.emplace();
  }
  row.value = std::move(*decoded);
  return row;
}

class http_row_store final : public core::row_store {
 public:
  http_row_store(net::event_loop& loop, net::http1_client& client,
                 const net::endpoint& at, common::duration timeout)
      : loop_(loop), client_(client), at_(at), timeout_(timeout) {}

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
         [handler = std::move(handler)](core::row_store_result& answer, bool) {
           handler(answer);
         });
  }

  void Put(std::string_view table, std::string_view key, std::string_view value,
           core::row_store_handler handler) override {
    const json body = {{"precondition", json::array()},
                       {"set-keys",
                        {{{"table", table},
                          {"part", ""},
                          {"key", key},
                          {"value", net::EncodeBase64(value)}}}},
                       {"remove", json::array()}};
    Write(body, std::move(handler));
  }

  void Remove(std::string_view table, std::string_view key,
              core::row_store_handler handler) override {
    const json body = {
        {"precondition", json::array()},
        {"set-keys", json::array()},
        {"remove", {{{"table", table}, {"part", ""}, {"key", key}}}}};
    Write(body, std::move(handler));
  }

 private:
  /// @param truncated whether the answer holds only the first of the rows
  using page_handler =
      std::function<void(core::row_store_result& answer, bool truncated)>;

  class call final : public net::call_handler {
   public:
    call(http_row_store& owner, page_handler handler)
        : owner_(owner), handler_(std::move(handler)) {}

    void Start(const net::outgoing_request& request) {
      call_ = owner_.client_.Start(request, *this);
    }
    void OnHead(const net::message_head& head) override {
      status_ = head.status;
    }
    void OnBody(std::string_view data) override { body_.append(data); }
    void OnComplete() override {
      core::row_store_result answer;
      answer.status = StatusOf(status_);
      bool truncated = false;
      if (answer.status == row_store_status::kOk &&
          !Read(&answer, &truncated)) {
        LogCall("an answer of the store cannot be read");
        answer = core::row_store_result();
      }
      End(answer, truncated);
    }
    void OnFailure(net::call_failure) override {
      core::row_store_result answer;
      answer.status = call_ && call_->sent() ? row_store_status::kNoResponse
                                             : row_store_status::kRefused;
      End(answer, false);
    }

   private:
    bool Read(core::row_store_result* answer, bool* truncated) const {
      const json body = json::parse(body_, nullptr, false);
      if (!body.is_object() || !body.contains("row-version") ||
          !body["row-version"].is_number_unsigned()) {
        return false;
      }
      answer->version = body["row-version"].get<uint64_t>();
      *truncated = body.contains("truncated") &&
                   body["truncated"].is_boolean() &&
                   body["truncated"].get<bool>();
      if (!body.contains("rows")) return true;
      if (!body["rows"].is_array()) return false;
      for (const json& row : body["rows"]) {
        std::optional<core::stored_row> read = RowOf(row);
        if (read) answer->rows.push_back(std::move(*read));
      }
      return true;
    }

    void End(core::row_store_result& answer, bool truncated) {
      const page_handler handler = std::move(handler_);
      // Destroys this object.
      owner_.calls_.erase(this);
      handler(answer, truncated);
    }

    http_row_store& owner_;
    page_handler handler_;
    std::unique_ptr<net::http1_call> call_;
    int status_ = 0;
    std::string body_;
  };

  void Call(std::string method, std::string target, std::string_view body,
            common::duration timeout, page_handler handler) {
    std::unique_ptr<call> made =
        std::make_unique<call>(*this, std::move(handler));
    net::outgoing_request request;
    request.to = at_;
    request.method = std::move(method);
    request.target = std::move(target);
    request.headers = {{"Host", net::EndpointText(at_)}};
    if (!body.empty()) {
      request.headers.push_back({"Content-Type", "application/json"});
    }
    request.body = body;
    request.timeout = timeout;
    call* raw = made.get();
    calls_.emplace(raw, std::move(made));
    raw->Start(request);
  }

  void Write(const json& body, core::row_store_handler handler) {
    Call("POST", "/v1/rows-tx", body.dump(), timeout_,
         [handler = std::move(handler)](core::row_store_result& answer, bool) {
           handler(answer);
         });
  }

  void ReadPage(const std::string& table, const std::string& from,
                const std::shared_ptr<core::row_store_result>& all,
                core::row_store_handler handler) {
    std::string target = "/v1/rows-get?table=" + EscapeQuery(table) +
                         "&part=&limit=" + std::to_string(kRowsPerAnswer);
    if (!from.empty()) target += "&from=" + EscapeQuery(from);
    Call("GET", std::move(target), "", timeout_,
         [this, table, from, all, handler = std::move(handler)](
             core::row_store_result& page, bool truncated) {
           all->status = page.status;
           if (page.status != row_store_status::kOk) {
             handler(*all);
             return;
           }
           // Pages are read one after another: only changes after the first
           // one are sure to be seen later.
           if (from.empty()) all->version = page.version;
           for (core::stored_row& row : page.rows) {
             if (row.key != from) all->rows.push_back(std::move(row));
           }
           if (!truncated || page.rows.empty()) {
             handler(*all);
             return;
           }
           ReadPage(table, all->rows.back().key, all, handler);
         });
  }

  net::event_loop& loop_;
  net::http1_client& client_;
  net::endpoint at_;
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
