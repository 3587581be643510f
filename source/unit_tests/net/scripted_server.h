#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/tcp_stream.h"

namespace wisteriadale::fakes {

/// Sends the next of a list of scripted responses for each request it receives.
class scripted_server {
 public:
  /// What a connection does after it sent a response.
  enum class after_response { kKeep, kClose, kReset };

  explicit scripted_server(net::event_loop& loop)
      : listener_(net::tcp_listener::Create(
            loop, {"127.0.0.1", 0},
            [this](std::unique_ptr<net::tcp_stream> stream) {
              connections_.push_back(
                  std::make_unique<connection>(*this, std::move(stream)));
            })) {}

  void AddResponse(const std::string& text,
                   after_response end = after_response::kKeep) {
    responses_.push_back({text, end});
  }
  /// Sends bytes that no request asked for on all connections.
  void SendUnsolicited(const std::string& text) {
    for (const std::unique_ptr<connection>& each : connections_) {
      each->Write(text);
    }
  }
  net::endpoint listen_address() const {
    return {"127.0.0.1", listener_->port()};
  }
  size_t connections() const { return connections_.size(); }
  /// @return connections that no peer has closed
  size_t open_connections() const {
    return static_cast<size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [](const auto& each) { return each->open(); }));
  }
  size_t requests() const { return requests_; }

 private:
  class connection final : public net::tcp_handler {
   public:
    connection(scripted_server& owner, std::unique_ptr<net::tcp_stream> stream)
        : owner_(owner), stream_(std::move(stream)) {
      stream_->SetHandler(*this);
    }
    bool open() const { return stream_ != nullptr; }
    void Write(const std::string& text) {
      if (stream_) stream_->Write(text);
    }
    void OnData(std::string_view data) override {
      if (data.find("\r\n\r\n") == std::string_view::npos) return;
      if (owner_.requests_ >= owner_.responses_.size()) return;
      const auto& [text, end] = owner_.responses_[owner_.requests_++];
      stream_->Write(text);
      if (end == after_response::kReset) stream_->Abort();
      if (end != after_response::kKeep) stream_.reset();
    }
    void OnEnd(net::stream_end) override { stream_.reset(); }

   private:
    scripted_server& owner_;
    std::unique_ptr<net::tcp_stream> stream_;
  };

  std::unique_ptr<net::tcp_listener> listener_;
  std::vector<std::unique_ptr<connection>> connections_;
  std::vector<std::pair<std::string, after_response>> responses_;
  size_t requests_ = 0;
};

}  // namespace wisteriadale::fakes
