#include "daisyspool/wire/Adaptors.h"

#include <catch2/catch.hpp>

using namespace daisyspool;

namespace {

struct Sample {
  TaskId Task;
  Epoch Owner;
  Resources Size;
  Duration Left{};
  MSGPACK_DEFINE_ARRAY(Task, Owner, Size, Left)
};

} // namespace

// Guards against a strong type whose value changes when it is encoded and
// decoded.
TEST_CASE("strong types keep their values through MessagePack") {
  Sample Before{TaskId("roster-7"),
                Epoch(9),
                {MilliCores(250), MebiBytes(64), Accelerators(1)},
                Millis(1500)};
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Before);

  auto After = msgpack::unpack(Buffer.data(), Buffer.size()).get().as<Sample>();

  REQUIRE(After.Task == Before.Task);
  REQUIRE(After.Owner == Before.Owner);
  REQUIRE(After.Size == Before.Size);
  REQUIRE(After.Left == Before.Left);
}
