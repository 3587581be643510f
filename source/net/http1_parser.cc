#include "net/http1_parser.h"

#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

namespace wisteriadale::net {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using beast::error_code;
using beast::string_view;

char ToLower(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a')
                                        : letter;
}

std::string_view View(string_view text) { return {text.data(), text.size()}; }

/// @return whether a header line is folded: continues the line before it
bool HasFoldedLine(std::string_view head) {
  return head.find("\n ") != std::string_view::npos ||
         head.find("\n\t") != std::string_view::npos;
}

http1_error ErrorOf(const error_code& ec) {
  if (ec == http::error::header_limit) return http1_error::kHeadTooLarge;
  if (ec == http::error::body_limit) return http1_error::kBodyTooLarge;
  return http1_error::kMalformed;
}

template <bool is_request>
class beast_parser final : public http1_parser,
                           private http::basic_parser<is_request> {
  using base = http::basic_parser<is_request>;

 public:
  beast_parser(const http1_limits& limits, bool head_only)
      : limits_(limits), head_only_(head_only) {
    base::header_limit(static_cast<uint32_t>(limits.max_head_bytes));
    base::body_limit(limits.max_body_bytes);
    base::eager(true);
    base::skip(head_only);
  }

  http1_error Parse(std::string_view input, size_t* consumed,
                    std::string* body) override {
    *consumed = 0;
    body_ = body;
    while (*consumed < input.size() && !base::is_done()) {
      const std::string_view rest = input.substr(*consumed);
      if (!base::is_header_done()) {
        const http1_error head_error = CheckHead(rest);
        if (head_error != http1_error::kNone) return head_error;
      }
      error_code ec;
      const size_t parsed =
          base::put(boost::asio::const_buffer(rest.data(), rest.size()), ec);
      *consumed += parsed;
      if (ec == http::error::need_more) break;
      if (ec) return ErrorOf(ec);
      if (parsed == 0) break;
    }
    return framing_error_ ? http1_error::kMalformed : http1_error::kNone;
  }

  http1_error End() override {
    if (base::is_done()) return http1_error::kNone;
    if (!base::is_header_done()) return http1_error::kTruncated;
    error_code ec;
    base::put_eof(ec);
    return ec || !base::is_done() ? http1_error::kTruncated
                                  : http1_error::kNone;
  }

  bool head_complete() const override { return base::is_header_done(); }
  bool complete() const override { return base::is_done(); }
  const message_head& head() const override { return head_; }

 private:
  http1_error CheckHead(std::string_view input) const {
    const size_t end = input.find("\r\n\r\n");
    if (end == std::string_view::npos) {
      return input.size() > limits_.max_head_bytes ? http1_error::kHeadTooLarge
                                                   : http1_error::kNone;
    }
    return HasFoldedLine(input.substr(0, end)) ? http1_error::kMalformed
                                               : http1_error::kNone;
  }

  void on_request_impl(http::verb, string_view method, string_view target,
                       int version, error_code&) override {
    head_.method = View(method);
    head_.target = View(target);
    head_.minor_version = version % 10;
  }

  void on_response_impl(int code, string_view reason, int version,
                        error_code&) override {
    head_.status = code;
    head_.reason = View(reason);
    head_.minor_version = version % 10;
  }

  void on_field_impl(http::field name, string_view text, string_view value,
                     error_code&) override {
    // Only `chunked`, named once, is supported: any other transfer coding would
    // let two parsers see different messages in the same bytes.
    if (name == http::field::transfer_encoding &&
        (!SameName(View(value), "chunked") ||
         head_.Count("Transfer-Encoding") > 0)) {
      framing_error_ = true;
    }
    head_.headers.push_back(
        {std::string(View(text)), std::string(View(value))});
  }

  void on_header_impl(error_code& ec) override {
    if (framing_error_) {
      ec = http::error::bad_transfer_encoding;
      return;
    }
    head_.keep_alive = base::keep_alive();
    head_.framing = Framing();
    if (!base::chunked() && base::content_length()) {
      head_.content_length = *base::content_length();
    }
  }

  void on_body_init_impl(const boost::optional<uint64_t>&,
                         error_code&) override {}
  size_t on_body_impl(string_view body, error_code&) override {
    body_->append(body.data(), body.size());
    return body.size();
  }
  void on_chunk_header_impl(uint64_t, string_view, error_code&) override {}
  size_t on_chunk_body_impl(uint64_t, string_view body, error_code&) override {
    body_->append(body.data(), body.size());
    return body.size();
  }
  void on_finish_impl(error_code&) override {}

  body_framing Framing() const {
    if (head_only_) return body_framing::kNone;
    if (base::chunked()) return body_framing::kChunked;
    if (base::content_length()) return body_framing::kLength;
    return base::need_eof() ? body_framing::kUntilClose : body_framing::kNone;
  }

  http1_limits limits_;
  bool head_only_;
  message_head head_;
  std::string* body_ = nullptr;
  bool framing_error_ = false;
};

}  // namespace

std::string_view ToString(body_framing framing) {
  constexpr std::string_view kNames[] = {"none", "length", "chunks", "close"};
  return kNames[static_cast<size_t>(framing)];
}

bool SameName(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char a, char b) { return ToLower(a) == ToLower(b); });
}

const std::string* message_head::Find(std::string_view name) const {
  for (const http_header& header : headers) {
    if (SameName(header.name, name)) return &header.value;
  }
  return nullptr;
}

size_t message_head::Count(std::string_view name) const {
  return static_cast<size_t>(std::count_if(headers.begin(), headers.end(),
                                           [name](const http_header& header) {
                                             return SameName(header.name, name);
                                           }));
}

std::unique_ptr<http1_parser> http1_parser::ForRequest(
    const http1_limits& limits) {
  return std::make_unique<beast_parser<true>>(limits, false);
}

std::unique_ptr<http1_parser> http1_parser::ForResponse(
    const http1_limits& limits, bool head_only) {
  return std::make_unique<beast_parser<false>>(limits, head_only);
}

}  // namespace wisteriadale::net
