#include "net/http1_parser.h"

#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <charconv>

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

/// @return the number that a text begins with
uint64_t ParseNumber(std::string_view text, int base) {
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number, base);
  return number;
}

bool IsHexDigit(char letter) {
  return (letter >= '0' && letter <= '9') ||
         (ToLower(letter) >= 'a' && ToLower(letter) <= 'f');
}

/// @return whether a line is the header of the last chunk, which has size 0
bool IsLastChunk(std::string_view line) {
  const size_t digits = static_cast<size_t>(
      std::find_if_not(line.begin(), line.end(), IsHexDigit) - line.begin());
  return digits > 0 && line.find_first_not_of('0') >= digits;
}

/// Splits bytes that arrive in pieces into lines, and examines each byte once.
class line_scanner {
 public:
  enum class outcome { kLine, kNeedMore, kMalformed };

  /// @param input from the first byte since Reset
  outcome Next(std::string_view input) {
    const size_t end = input.find('\n', scanned_);
    const size_t stop = end == std::string_view::npos ? input.size() : end + 1;
    examined_ += stop - scanned_;
    scanned_ = stop;
    if (end == std::string_view::npos) return outcome::kNeedMore;
    if (end == next_ || input[end - 1] != '\r') return outcome::kMalformed;
    line_ = input.substr(next_, end - 1 - next_);
    next_ = stop;
    ++lines_;
    return outcome::kLine;
  }
  void Reset() { scanned_ = next_ = lines_ = 0; }

  /// @return the last line without its end
  std::string_view line() const { return line_; }
  /// @return offset of the line behind the last one
  size_t next() const { return next_; }
  /// @return lines since Reset
  size_t lines() const { return lines_; }
  uint64_t examined() const { return examined_; }

 private:
  std::string_view line_;
  size_t scanned_ = 0;
  size_t next_ = 0;
  size_t lines_ = 0;
  uint64_t examined_ = 0;
};

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
      size_t parsed = 0;
      const http1_error error = ParsePart(rest, &parsed);
      *consumed += parsed;
      if (error != http1_error::kNone) return error;
      if (parsed == 0) break;
    }
    return http1_error::kNone;
  }

  http1_error End() override {
    if (base::is_done()) return http1_error::kNone;
    if (!base::is_header_done()) return http1_error::kTruncated;
    error_code ec;
    base::put_eof(ec);
    return ec || !base::is_done() ? http1_error::kTruncated
                                  : http1_error::kNone;
  }

  bool head_complete() const override {
    return base::is_header_done() || head_rejected_;
  }
  bool complete() const override { return base::is_done(); }
  const message_head& head() const override { return head_; }
  const std::optional<exceeded_limit>& exceeded() const override {
    return exceeded_;
  }
  uint64_t examined_bytes() const override {
    return lines_.examined() + put_bytes_;
  }

 private:
  http1_error ParsePart(std::string_view rest, size_t* parsed) {
    if (!base::is_header_done()) return ParseHead(rest, parsed);
    if (!base::chunked()) return Put(rest, parsed);
    if (chunk_remaining_ == 0) return ParseChunkHeader(rest, parsed);
    return Put(rest.substr(0, chunk_remaining_), parsed);
  }

  /// Passes complete units to the library, which reads incomplete ones again
  /// from their start.
  /// @param parsed set to the number of bytes that belong to the message
  http1_error Put(std::string_view unit, size_t* parsed) {
    error_code ec;
    *parsed =
        base::put(boost::asio::const_buffer(unit.data(), unit.size()), ec);
    put_bytes_ += *parsed;
    if (!ec || ec == http::error::need_more) return http1_error::kNone;
    const http1_error error = ErrorOf(ec);
    if (error == http1_error::kBodyTooLarge) {
      // The library stops behind the last header.
      head_rejected_ = !base::is_header_done();
      exceeded_ = {message_part::kBody,
                   body_bytes_ + announced_bytes_.value_or(unit.size()),
                   limits_.max_body_bytes};
    }
    return error;
  }

  /// Passes headers, or a chunk header with what belongs to it.
  http1_error PutUnit(std::string_view unit) {
    size_t parsed = 0;
    const http1_error error = Put(unit, &parsed);
    if (error != http1_error::kNone) return error;
    // The library waits for more if a quoted string does not end in its line.
    return parsed == unit.size() ? http1_error::kNone : http1_error::kMalformed;
  }

  http1_error ParseHead(std::string_view rest, size_t* parsed) {
    // Other protocols are told apart by their first bytes.
    constexpr std::string_view kProtocol = "HTTP/1.";
    const std::string_view begin = rest.substr(0, kProtocol.size());
    if (is_request ? rest[0] <= ' ' || rest[0] > '~'
                   : !kProtocol.starts_with(begin)) {
      return http1_error::kMalformed;
    }
    const std::string_view input = rest.substr(0, limits_.max_head_bytes);
    while (true) {
      switch (lines_.Next(input)) {
        case line_scanner::outcome::kMalformed:
          return http1_error::kMalformed;
        case line_scanner::outcome::kNeedMore:
          if (rest.size() < limits_.max_head_bytes) return http1_error::kNone;
          exceeded_ = {lines_.lines() == 0 ? message_part::kStartLine
                                           : message_part::kHeaders,
                       rest.size(), limits_.max_head_bytes};
          return http1_error::kHeadTooLarge;
        case line_scanner::outcome::kLine:
          break;
      }
      const std::string_view line = lines_.line();
      if (lines_.lines() == 1) {
        const http1_error error =
            Put(input.substr(0, lines_.next()), &start_line_bytes_);
        if (error != http1_error::kNone) return error;
      } else if (line.empty()) {
        *parsed = lines_.next();
        lines_.Reset();
        return PutUnit(
            input.substr(start_line_bytes_, *parsed - start_line_bytes_));
      } else if (line[0] == ' ' || line[0] == '\t') {
        return http1_error::kMalformed;
      }
    }
  }

  /// Parses the line end of the chunk before, the header of a chunk and, if it
  /// is the last, the trailers.
  http1_error ParseChunkHeader(std::string_view rest, size_t* parsed) {
    constexpr std::string_view kLineEnd = "\r\n";
    const size_t begin = is_first_chunk_ ? 0 : kLineEnd.size();
    if (!kLineEnd.starts_with(rest.substr(0, begin)) ||
        (rest.size() > begin && !IsHexDigit(rest[begin]))) {
      return http1_error::kMalformed;
    }
    const uint64_t allowed =
        limits_.max_head_bytes + kMaxShortChunkHeader - framing_bytes_;
    const std::string_view input = rest.substr(0, allowed);
    const size_t header_lines = is_first_chunk_ ? 1 : 2;
    while (true) {
      switch (lines_.Next(input)) {
        case line_scanner::outcome::kMalformed:
          return http1_error::kMalformed;
        case line_scanner::outcome::kNeedMore:
          return rest.size() < allowed
                     ? http1_error::kNone
                     : RejectChunkHeader(rest.size(),
                                         lines_.lines() >= header_lines);
        case line_scanner::outcome::kLine:
          break;
      }
      const std::string_view line = lines_.line();
      const bool ends = lines_.lines() == header_lines
                            ? !IsLastChunk(line)
                            : lines_.lines() > header_lines && line.empty();
      if (ends) break;
    }
    *parsed = lines_.next();
    lines_.Reset();
    is_first_chunk_ = false;
    const std::string_view unit = input.substr(0, *parsed);
    announced_bytes_ = ParseNumber(unit.substr(begin), 16);
    const http1_error error = PutUnit(unit);
    // Short chunks may have more framing than data, without limit.
    const uint64_t granted =
        kMaxShortChunkHeader +
        2 * std::min<uint64_t>(chunk_remaining_, limits_.max_head_bytes);
    const uint64_t total = framing_bytes_ + *parsed;
    framing_bytes_ = total > granted ? total - granted : 0;
    return error;
  }

  http1_error RejectChunkHeader(size_t bytes, bool in_trailer) {
    exceeded_ = {
        in_trailer ? message_part::kTrailer : message_part::kChunkHeader,
        framing_bytes_ + bytes, limits_.max_head_bytes + kMaxShortChunkHeader};
    return in_trailer ? http1_error::kTrailerTooLarge
                      : http1_error::kChunkHeaderTooLarge;
  }

  void on_request_impl(http::verb, string_view method, string_view target,
                       int version, error_code&) override {
    head_.method = View(method);
    head_.target = View(target);
    head_.minor_version = version % 10;
  }

  void on_response_impl(int code, string_view reason, int version,
                        error_code& ec) override {
    if (!IsValidStatus(code)) ec = http::error::bad_status;
    head_.status = code;
    head_.reason = View(reason);
    head_.minor_version = version % 10;
  }

  void on_field_impl(http::field name, string_view text, string_view value,
                     error_code&) override {
    // RFC 9110, 6.5.1: trailers must not be merged into the headers.
    if (base::is_header_done()) return;
    // Only `chunked`, named once, is supported: any other transfer coding would
    // let two parsers see different messages in the same bytes.
    if (name == http::field::transfer_encoding &&
        (!SameName(View(value), "chunked") ||
         head_.Count("Transfer-Encoding") > 0)) {
      framing_error_ = true;
    }
    if (name == http::field::content_length) {
      announced_bytes_ = ParseNumber(View(value), 10);
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
    body_bytes_ += body.size();
    return body.size();
  }
  void on_chunk_header_impl(uint64_t size, string_view, error_code&) override {
    chunk_remaining_ = size;
  }
  size_t on_chunk_body_impl(uint64_t, string_view body, error_code&) override {
    chunk_remaining_ -= body.size();
    body_->append(body.data(), body.size());
    body_bytes_ += body.size();
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
  bool head_rejected_ = false;  ///< it announces a body over the limit
  line_scanner lines_;
  size_t start_line_bytes_ = 0;
  bool is_first_chunk_ = true;
  uint64_t chunk_remaining_ = 0;  ///< bytes of the chunk that is being read
  uint64_t framing_bytes_ = 0;    ///< of chunks, beyond what is granted
  uint64_t body_bytes_ = 0;
  std::optional<uint64_t> announced_bytes_;  ///< of the body or the chunk
  uint64_t put_bytes_ = 0;
  std::optional<exceeded_limit> exceeded_;
};

}  // namespace

std::string_view ToString(body_framing framing) {
  constexpr std::string_view kNames[] = {"none", "length", "chunks", "close"};
  return kNames[static_cast<size_t>(framing)];
}

std::string_view ToString(message_part part) {
  constexpr std::string_view kNames[] = {
      "start_line", "headers", "chunk_header", "trailer",
      "body",       "skipped", "no_message"};
  return kNames[static_cast<size_t>(part)];
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
