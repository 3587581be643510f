#include "unit_tests/platform_standin/row_service.h"

#include <algorithm>

#include "net/base64.h"

namespace wisteriadale::platform_standin {
namespace {

using nlohmann::json;

constexpr common::duration kFeedPollInterval = std::chrono::milliseconds(10);

std::string QueryParameter(const std::string& target, const std::string& name) {
  const size_t query = target.find('?');
  size_t at = query == std::string::npos ? target.size() : query + 1;
  while (at < target.size()) {
    const size_t end = std::min(target.find('&', at), target.size());
    const std::string pair = target.substr(at, end - at);
    const size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name && equals != std::string::npos) {
      return pair.substr(equals + 1);
    }
    at = end + 1;
  }
  return "";
}

uint64_t NumericQueryParameter(const std::string& target,
                               const std::string& name) {
  return std::strtoull(QueryParameter(target, name).c_str(), nullptr, 10);
}

}  // namespace

void row_service::Set(const std::string& table, const std::string& key,
                      const std::optional<std::string>& value) {
  rows_[{table, key}] = {value.value_or(""), ++version_, !value.has_value()};
  CheckFeeds();
}

void row_service::Restore() {
  rows_ = copy_.rows;
  version_ = copy_.version;
  ++era_;
  for (const pending_feed& feed : std::exchange(pending_feeds_, {})) {
    Respond(feed.exchange.get(), 503, json::object());
  }
}

std::optional<std::string> row_service::Find(const std::string& table,
                                             const std::string& key) const {
  const auto found = rows_.find({table, key});
  if (found == rows_.end() || found->second.removed) return std::nullopt;
  return found->second.value;
}

void row_service::Handle(const std::shared_ptr<net::http1_exchange>& exchange) {
  ++calls_;
  if (faults_.mode == "silent") {
    unanswered_.push_back(exchange);
    return;
  }
  if (faults_.mode == "busy") {
    Respond(exchange.get(), 503, json::object());
    return;
  }
  if (faults_.delay_ms == 0) {
    Serve(exchange);
    return;
  }
  loop_.Schedule(common::milliseconds(faults_.delay_ms),
                 [this, exchange] { Serve(exchange); });
}

void row_service::Serve(const std::shared_ptr<net::http1_exchange>& exchange) {
  const std::string& target = exchange->head().target;
  const std::string table = QueryParameter(target, "table");
  if (target.starts_with("/v1/rows-get")) {
    Respond(exchange.get(), 200,
            {{"rows", Rows(table, 0, false)}, {"truncated", false}});
  } else if (target.starts_with("/v1/rows-feed")) {
    const bool is_ahead = NumericQueryParameter(target, "after") > version_;
    if (faults_.feed_expired || is_ahead) {
      faults_.feed_expired = false;
      Respond(exchange.get(), 410, json::object());
      return;
    }
    const pending_feed feed{
        exchange, table, NumericQueryParameter(target, "after"),
        clock_.Now() +
            common::milliseconds(NumericQueryParameter(target, "wait-ms"))};
    if (!RespondToFeed(feed)) {
      pending_feeds_.push_back(feed);
      loop_.Schedule(kFeedPollInterval, [this] { CheckFeeds(); });
    }
  } else if (target == "/v1/rows-tx") {
    Write(exchange);
  } else {
    Respond(exchange.get(), 404, json::object());
  }
}

void row_service::Write(const std::shared_ptr<net::http1_exchange>& exchange) {
  const json body = json::parse(exchange->body(), nullptr, false);
  for (const json& entry : body.value("set-keys", json::array())) {
    Set(entry.value("table", ""), entry.value("key", ""),
        net::DecodeBase64(entry.value("value", "")));
  }
  for (const json& entry : body.value("remove", json::array())) {
    Set(entry.value("table", ""), entry.value("key", ""), std::nullopt);
  }
  if (faults_.mode == "lose") {
    unanswered_.push_back(exchange);
    return;
  }
  Respond(exchange.get(), 200, json::object());
}

bool row_service::RespondToFeed(const pending_feed& feed) {
  const json rows = Rows(feed.table, feed.after, true);
  if (rows.empty() && clock_.Now() < feed.until) return false;
  Respond(feed.exchange.get(), 200, {{"rows", rows}});
  return true;
}

void row_service::CheckFeeds() {
  std::vector<pending_feed> waiting;
  waiting.swap(pending_feeds_);
  for (const pending_feed& feed : waiting) {
    if (!RespondToFeed(feed)) pending_feeds_.push_back(feed);
  }
  if (pending_feeds_.empty()) return;
  loop_.Schedule(kFeedPollInterval, [this] { CheckFeeds(); });
}

json row_service::Rows(const std::string& table, uint64_t after,
                       bool include_removed) const {
  json rows = json::array();
  for (const auto& [key, stored] : rows_) {
    if (key.first != table || stored.version <= after) continue;
    if (stored.removed && !include_removed) continue;
    json row = {{"table", table},
                {"part", ""},
                {"key", key.second},
                {"row-version", stored.version}};
    if (stored.removed) {
      row["tombstone"] = true;
    } else {
      row["value"] = net::EncodeBase64(stored.value);
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

void row_service::Respond(net::http1_exchange* exchange, int status,
                          const json& body) const {
  json response = body;
  response["row-version"] = version_;
  response["now-ms"] = common::ToMillis(clock_.Now().time_since_epoch());
  const std::vector<net::http_header> headers = {
      {"Content-Type", "application/json"},
      {"Store-Era", std::to_string(era_)}};
  exchange->Send(status, "Answer", headers, response.dump());
}

}  // namespace wisteriadale::platform_standin
