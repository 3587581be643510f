#include "core/overload/receive_room.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

constexpr uint64_t kRoom = 40'000'000;

}  // namespace

TEST_GROUP(ReceiveRoom) {
  core::receive_room_options options;

  void setup() override { options.room = kRoom; }
};

TEST(ReceiveRoom, AllBuffersTogetherStayWithinTheRoom) {
  core::receive_room room(options);
  for (size_t i = 0; i < core::MaxSockets(options); ++i) room.Reserve();
  CHECK(room.reserved() + options.backlog * room.BytesBeforeAccept() <= kRoom);
}

TEST(ReceiveRoom, AFewConnectionsGetLargeBuffersAndManySmallOnes) {
  core::receive_room room(options);
  const size_t first = room.Reserve();
  CHECK(first >= size_t{32} * 1024);
  for (int i = 0; i < 3000; ++i) room.Reserve();
  LONGS_EQUAL(options.min_bytes, room.Reserve());
}

TEST(ReceiveRoom, ConnectionsThatEndLeaveTheirRoomToOthers) {
  core::receive_room room(options);
  const size_t first = room.Reserve();
  std::vector<size_t> others(1000);
  for (size_t& bytes : others) bytes = room.Reserve();
  for (const size_t bytes : others) room.Release(bytes);
  room.Release(first);
  LONGS_EQUAL(0, room.reserved());
  LONGS_EQUAL(first, room.Reserve());
}

TEST(ReceiveRoom, AVmOfTheUsualSizeHasRoomForItsDescriptors) {
  const core::receive_room_options usual = core::MakeReceiveRoomOptions(260);
  CHECK(core::MaxSockets(usual) >= 3900);
}
