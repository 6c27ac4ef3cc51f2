#include "daisyspool/wire/Codec.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using namespace daisyspool::wire;

namespace {

Envelope sampleEnvelope() {
  ServeRequest Request;
  Request.Attempt = AttemptId(42);
  Request.Request = RequestId("fit-check-1");
  Request.Class = WorkClass::Urgent;
  Request.Remaining = Millis(250);
  Request.LastEvent = "17";
  Request.Body = std::string("\0binary\xff", 8);
  return {ProcessId("entry-1"), Incarnation(3), ConfigVersion(7), Request};
}

} // namespace

// Guards against a field that is lost or swapped in encoding or decoding.
TEST_CASE("a decoded message equals the encoded one") {
  Envelope After = decode(encode(sampleEnvelope()));

  REQUIRE(After.From == ProcessId("entry-1"));
  REQUIRE(After.SenderIncarnation == Incarnation(3));
  REQUIRE(After.Config == ConfigVersion(7));
  const auto &Request = std::get<ServeRequest>(After.Content);
  REQUIRE(Request.Attempt == AttemptId(42));
  REQUIRE(Request.Class == WorkClass::Urgent);
  REQUIRE(Request.Remaining == Millis(250));
  REQUIRE(Request.LastEvent == "17");
  REQUIRE(Request.Body.size() == 8);
}

// Guards against a decoder that crashes on truncated input or accepts it.
TEST_CASE("every truncation of a message is a protocol error") {
  const std::string Whole = encode(sampleEnvelope());

  for (std::size_t Length = 0; Length < Whole.size(); ++Length)
    REQUIRE_THROWS_AS(decode({Whole.data(), Length}), ProtocolError);
}

// Guards against undefined enumerators and crashes on corrupted input.
TEST_CASE("a corrupted byte causes no exception but a protocol error") {
  const std::string Whole = encode(sampleEnvelope());

  for (std::size_t Position = 0; Position < Whole.size(); ++Position) {
    for (int Flip : {0x01, 0x80, 0xff}) {
      std::string Corrupt = Whole;
      Corrupt[Position] = static_cast<char>(Corrupt[Position] ^ Flip);
      try {
        decode(Corrupt);
      } catch (const ProtocolError &) {
        continue;
      }
    }
  }
  SUCCEED();
}

// Guards against two releases that misinterpret each other's messages during an
// upgrade.
TEST_CASE("the error of an unsupported version contains that version") {
  std::string Other = encode(sampleEnvelope());
  Other[1] = 2;

  try {
    decode(Other);
    FAIL("accepted another version");
  } catch (const VersionMismatch &Mismatch) {
    REQUIRE(Mismatch.peerVersion() == 2);
  }
}

// Guards against a decoder that reserves gigabytes for an array because its
// header announces them.
TEST_CASE("a forged array size is a protocol error") {
  const std::string Forged("\xdd\x0f\xff\xff\xff", 5);

  REQUIRE_THROWS_AS(decode(Forged), ProtocolError);
}
