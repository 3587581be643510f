#include "unit_tests/platform_standin/broken_target.h"

#include <algorithm>

namespace wisteriadale::platform_standin {
namespace {

constexpr char kRequestId[] = "X-Wisteriadale-Request-Id";
constexpr char kNotExecuted[] = "X-Wisteriadale-Not-Executed";
constexpr char kSignature[] = "X-Wisteriadale-Response-Signature";
// How far a response comes within its headers, an event or its body.
constexpr size_t kBytesWithin = 8;
constexpr size_t kMissingBytes = 10;
// An endless response is sent in pieces of this size, at this period.
constexpr size_t kEndlessBytes = size_t{256} * 1024;
constexpr common::duration kEndlessPeriod = std::chrono::milliseconds(1);

std::string Chunk(std::string_view data) {
  if (data.empty()) return "";
  char size[24];
  std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
  return size + std::string(data) + "\r\n";
}

std::string Refusal(const std::string& request_id) {
  return "HTTP/1.1 503 Service Unavailable\r\n" + std::string(kNotExecuted) +
         ": 1\r\n" + kRequestId + ": " + request_id +
         "\r\nContent-Length: 0\r\n\r\n";
}

}  // namespace

class broken_target::connection final
    : public net::tcp_handler,
      public std::enable_shared_from_this<connection> {
 public:
  connection(broken_target& owner, std::unique_ptr<net::tcp_stream> stream)
      : owner_(owner), stream_(std::move(stream)) {
    stream_->SetHandler(*this);
  }

  void OnData(std::string_view data) override {
    input_.append(data);
    if (!parser_) parser_ = net::http1_parser::ForRequest({});
    size_t consumed = 0;
    if (parser_->Parse(input_, &consumed, &body_) != net::http1_error::kNone) {
      Close(true);
      return;
    }
    input_.erase(0, consumed);
    if (parser_->complete()) Respond();
  }
  void OnEnd(net::stream_end) override { Close(false); }

 private:
  void Respond() {
    const net::message_head head = parser_->head();
    const std::string body = std::exchange(body_, {});
    parser_.reset();
    const std::string* id = head.Find(kRequestId);
    const bool refuses = requests_++ % 2 == 0;
    if (owner_.break_.repeats_refusal && id != nullptr) {
      if (refuses) {
        refusal_ = Refusal(*id);
        stream_->Write(refusal_);
        return;
      }
      stream_->Write(std::exchange(refusal_, {}));
    }
    owner_.Record(head, body);
    if (!owner_.break_.endless.empty()) {
      while (repeated_.size() < kEndlessBytes) {
        repeated_.append(owner_.break_.endless);
      }
      stream_->Write(owner_.Head(head, false, 0) + "\r\n" +
                     owner_.break_.begin);
      SendMore();
      return;
    }
    const bool breaks = owner_.break_.at != "whole" &&
                        owner_.responses_++ >= owner_.break_.whole_first;
    stream_->Write(owner_.Response(head, body, breaks));
    const bool ends = breaks || owner_.break_.framing == "close";
    if (!ends) return;
    const bool reset = breaks && owner_.break_.reset;
    const std::weak_ptr<connection> self = weak_from_this();
    // A reset discards bytes that the peer has not read.
    owner_.loop_.Schedule(
        common::milliseconds(owner_.break_.end_ms), [self, reset] {
          const std::shared_ptr<connection> kept = self.lock();
          if (kept) kept->Close(reset);
        });
  }

  void SendMore() {
    if (!stream_) return;
    if (stream_->PendingBytes() < kEndlessBytes) stream_->Write(repeated_);
    const std::weak_ptr<connection> self = weak_from_this();
    owner_.loop_.Schedule(kEndlessPeriod, [self] {
      const std::shared_ptr<connection> kept = self.lock();
      if (kept) kept->SendMore();
    });
  }

  void Close(bool reset) {
    const std::shared_ptr<connection> self = shared_from_this();
    if (stream_ && reset) stream_->Abort();
    stream_.reset();
    owner_.connections_.erase(this);
  }

  broken_target& owner_;
  std::unique_ptr<net::tcp_stream> stream_;
  std::unique_ptr<net::http1_parser> parser_;
  std::string input_;
  std::string body_;
  std::string refusal_;
  std::string repeated_;  ///< what the endless response consists of
  uint64_t requests_ = 0;
};

broken_target::~broken_target() = default;

bool broken_target::Listen(uint16_t port) {
  listener_ = net::tcp_listener::Create(
      loop_, {"127.0.0.1", port}, [this](std::unique_ptr<net::tcp_stream> in) {
        const std::shared_ptr<connection> accepted =
            std::make_shared<connection>(*this, std::move(in));
        connections_.emplace(accepted.get(), accepted);
      });
  return listener_ != nullptr;
}

void broken_target::Record(const net::message_head& head,
                           const std::string& body) {
  runs_.push_back(MakeRun(id_, head, body, clock_.Now()));
}

std::string broken_target::Head(const net::message_head& request, bool streams,
                                size_t length) const {
  std::string out = "HTTP/1.1 " + std::to_string(break_.status) + " Status\r\n";
  if (const std::string* id = request.Find(kRequestId)) {
    out.append(kRequestId).append(": ").append(*id).append("\r\n");
  }
  if (break_.is_signed) out.append(kSignature).append(": " + id_ + "\r\n");
  if (streams) out.append("Content-Type: text/event-stream\r\n");
  if (break_.framing == "length") {
    out.append("Content-Length: " + std::to_string(length) + "\r\n");
  } else if (break_.framing == "chunks") {
    out.append("Transfer-Encoding: chunked\r\n");
  }
  return out;
}

std::string broken_target::Response(const net::message_head& head,
                                    const std::string& body,
                                    bool breaks) const {
  const std::string at = breaks ? break_.at : "whole";
  const bool streams = break_.is_stream && head.Find("Accept") != nullptr;
  std::vector<std::string> parts;
  if (streams) {
    const std::string* last = head.Find("Last-Event-Id");
    const uint32_t from = last == nullptr ? 1 : std::stoul(*last) + 1;
    for (uint32_t number = from; number <= break_.events; ++number) {
      parts.push_back(FormatEvent(number));
    }
  } else {
    parts.push_back("ran " + body + std::string(break_.padding, '.'));
  }
  size_t length = at == "end" ? kMissingBytes : 0;
  for (const std::string& part : parts) length += part.size();

  std::string out = Head(head, streams, length);
  if (at == "head") return out.substr(0, out.size() - kBytesWithin);
  out.append("\r\n");
  if (at == "start") return out;

  const auto add = [&](std::string_view data) {
    out.append(break_.framing == "chunks" ? Chunk(data) : std::string(data));
  };
  for (size_t i = 0; i < parts.size(); ++i) {
    const bool breaks_here = !streams || i == break_.cut_after;
    if (at == "between" && i == break_.cut_after) return out;
    if (at == "inside" && breaks_here) {
      // More of a long body than a gateway buffers.
      add(std::string_view(parts[i]).substr(
          0, std::max(kBytesWithin, size_t{break_.padding} * 3 / 4)));
      return out;
    }
    add(parts[i]);
  }
  if (break_.framing != "chunks" || at == "end") return out;
  out.append("0\r\n");
  return at == "trailer" ? out : out + "\r\n";
}

}  // namespace wisteriadale::platform_standin
