#include "daisyspool/membership/UdpDriver.h"

#include <catch2/catch.hpp>

using namespace daisyspool;

namespace {

MemberInfo infoAt(const MemberAddress &Address) {
  MemberInfo Info;
  Info.Address = Address;
  Info.FailureDomain = FailureDomainId("regina");
  return Info;
}

} // namespace

// Guards against a driver that does not deliver datagrams, or that stops
// receiving after a malformed one.
TEST_CASE("two drivers on loopback discover each other") {
  boost::asio::io_context Io;
  const SystemClock Time;
  UdpDriver First(Io, Time, {"127.0.0.1", 0});
  UdpDriver Second(Io, Time, {"127.0.0.1", 0});
  SwimProtocol One({}, ProcessId("one"), Incarnation(1),
                   infoAt(First.address()), 1, Time.now());
  SwimProtocol Two({}, ProcessId("two"), Incarnation(1),
                   infoAt(Second.address()), 2, Time.now());
  int ErrorCount = 0;
  First.start(One, [&](const MemberAddress &, const Error &) { ++ErrorCount; });
  Second.start(Two);

  Second.send({{First.address(), "not a datagram"},
               {First.address(), std::string("\x92\x02\x00", 3)}});
  Second.send(Two.join({First.address()}, Time.now()));
  const auto Discovered = [&] {
    return One.table().find(Two.self()) && Two.table().find(One.self());
  };
  for (int Step = 0; Step < 1000 && !Discovered(); ++Step)
    Io.run_one_for(Millis(10));

  REQUIRE(Discovered());
  REQUIRE(ErrorCount == 2);
  REQUIRE(One.counters().Malformed == 1);
  REQUIRE(One.counters().OtherVersion == 1);
  First.stop();
  Second.stop();
}
