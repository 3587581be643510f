#include "net/held_responses.h"

#include <utility>

namespace wisteriadale::net {

class held_responses::response final : public common::byte_holder {
 public:
  response(tcp_stream::observer stream, common::byte_account* account,
           common::time_point now)
      : stream_(std::move(stream)), account_(account), since_(now) {}
  ~response() override {
    if (account_ != nullptr) account_->Set(*this, {});
  }
  response(const response&) = delete;
  response& operator=(const response&) = delete;

  const tcp_stream::observer& stream() const { return stream_; }
  void GiveWay() override { stream_.Abort(); }

  /// @return whether the caller still lacks bytes
  bool Update(common::time_point now) {
    const owed_bytes owed = stream_.Owed();
    if (account_ != nullptr) {
      account_->Set(*this, {common::held_for::kResponse, owed.unsent, since_,
                            watch_.Update(owed.unsent, now)});
    }
    return owed.total() > 0;
  }

 private:
  tcp_stream::observer stream_;
  common::byte_account* account_;
  common::time_point since_;
  taking_watch watch_;
};

held_responses::held_responses() = default;
held_responses::~held_responses() = default;

void held_responses::Add(const tcp_stream& stream, common::time_point now) {
  if (stream.Owed().total() == 0) return;
  responses_.push_back(
      std::make_unique<response>(stream.Observe(), account_, now));
  responses_.back()->Update(now);
}

void held_responses::Check(common::time_point now) {
  std::erase_if(responses_, [now](const std::unique_ptr<response>& each) {
    return !each->Update(now);
  });
}

std::vector<tcp_stream::observer> held_responses::Streams() const {
  std::vector<tcp_stream::observer> streams;
  for (const std::unique_ptr<response>& each : responses_) {
    streams.push_back(each->stream());
  }
  return streams;
}

}  // namespace wisteriadale::net
