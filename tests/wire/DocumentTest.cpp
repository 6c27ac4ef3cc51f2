#include "daisyspool/wire/Document.h"
#include "support/OddValues.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace daisyspool;
using namespace daisyspool::wire;
using nlohmann::json;

// Guards against a value that the bounded parser reads differently from the
// library's own.
TEST_CASE("a document is parsed as by the library") {
  for (
      const char *Text :
      {"null", "5", "\"s\"", "[]", "{}", "[[],{},[1,[2]]]",
       R"({"a":[1,-2,1.5,true,null,"x"],"b":{"c":{}},"a":[18446744073709551615]})",
       " [1] "}) {
    json Expected = json::parse(Text);
    REQUIRE(parseJson(Text) == Expected);
    auto Bytes = json::to_msgpack(Expected);
    REQUIRE(parseMsgpack({reinterpret_cast<const char *>(Bytes.data()),
                          Bytes.size()}) == Expected);
  }
}

// Guards against malformed bytes that end the process or are accepted.
TEST_CASE("a malformed document throws ProtocolError") {
  for (const char *Text : {"", "[", "{\"a\"}", "[1] 2", "\xff", "[1e400]", "]"})
    REQUIRE_THROWS_AS(parseJson(Text), ProtocolError);
  // Nothing, a short array, an array of 2^32 - 1, an unused code, a rest.
  for (const char *Bytes :
       {"", "\x92\x01", "\xdd\xff\xff\xff\xff\x01", "\xc1", "\x01\x01"})
    REQUIRE_THROWS_AS(parseMsgpack(Bytes), ProtocolError);
}

// Guards against a document that exhausts the stack or the memory.
TEST_CASE("a document beyond a limit throws ProtocolError") {
  DocumentLimits Limits;
  REQUIRE_NOTHROW(parseJson(testing::deepJson(Limits.MaxDepth)));
  REQUIRE_THROWS_AS(parseJson(testing::deepJson(Limits.MaxDepth + 1)),
                    ProtocolError);
  REQUIRE_NOTHROW(parseMsgpack(testing::deepMsgpack(Limits.MaxDepth)));
  REQUIRE_THROWS_AS(parseMsgpack(testing::deepMsgpack(Limits.MaxDepth + 1)),
                    ProtocolError);
  REQUIRE_THROWS_AS(parseJson(std::string(4000000, '[')), ProtocolError);
  REQUIRE_THROWS_AS(parseMsgpack(testing::deepMsgpack(4000000)), ProtocolError);

  Limits.MaxElements = 3;
  REQUIRE_NOTHROW(parseJson("[1,2]", Limits));
  REQUIRE_THROWS_AS(parseJson("[1,2,3]", Limits), ProtocolError);
  REQUIRE_THROWS_AS(parseJson(R"({"a":{},"b":{},"c":{}})", Limits),
                    ProtocolError);
  Limits.MaxBytes = 4;
  REQUIRE_THROWS_AS(parseJson("[1,2]", Limits), ProtocolError);
}

// Guards against a number that wraps or is clipped, and against an undefined
// conversion of a double.
TEST_CASE("a whole number beyond its range throws ProtocolError") {
  REQUIRE(wholeNumber(json(7), 0, 7) == 7);
  REQUIRE(wholeNumber(json(7.9), 0, 7) == 7);
  REQUIRE(wholeNumber(json(-0.5), 0, 7) == 0);
  REQUIRE(wholeNumber(json(-7), -7, 7) == -7);
  REQUIRE(wholeNumber<std::uint32_t>(json(4294967295U)) == 4294967295U);
  constexpr double Infinity = std::numeric_limits<double>::infinity();
  for (const json &Odd :
       {json(8), json(8.0), json(-1), json(-1.0), json(1e30), json(-1e30),
        json(9223372036854775808.0), json(Infinity), json(-Infinity),
        json(std::numeric_limits<double>::quiet_NaN()),
        json(std::numeric_limits<std::uint64_t>::max()),
        json(std::numeric_limits<std::int64_t>::min()), json("7"), json(true),
        json(nullptr), json::array({7}), json::object()}) {
    INFO(Odd);
    REQUIRE_THROWS_AS(wholeNumber(Odd, 0, 7), ProtocolError);
    REQUIRE_THROWS_AS(realNumber(Odd, 0, 7), ProtocolError);
  }
  REQUIRE_THROWS_AS(wholeNumber<std::uint32_t>(json(4294967296U)),
                    ProtocolError);
  REQUIRE_THROWS_AS(wholeNumber<std::uint64_t>(
                        json(std::numeric_limits<std::int64_t>::max())),
                    ProtocolError);
  REQUIRE(realNumber(json(7), 0, 7) == 7);
}
