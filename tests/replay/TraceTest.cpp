#include "daisyspool/replay/Trace.h"
#include "daisyspool/core/Errors.h"
#include "daisyspool/replay/EventReader.h"
#include "daisyspool/replay/Outcome.h"

#include <catch2/catch.hpp>

using namespace daisyspool;

namespace {

const std::string Job =
    R"({"at_ms":5,"kind":"job","id":"j","team":"t","timeout_ms":9,)"
    R"("millicores":1,"memory_mib":1,"command":"run_ms=1"})";

template <typename Parse> std::string errorOf(Parse Read) {
  try {
    Read();
  } catch (const SettingsError &Error) {
    return Error.what();
  }
  FAIL("accepted");
  return "";
}

std::string traceError(const std::string &Text) {
  return errorOf([&] { parseTrace("a.jsonl", Text); });
}

} // namespace

// Guards against repeats with the same id, which would be treated as one
// request.
TEST_CASE("repeats of a trace line are spaced in time and have distinct ids") {
  auto Items = parseTrace(
      "a.jsonl",
      Job + "\n\n" +
          R"({"at_ms":1,"kind":"request","id":"r","service":"s","path":"/",)"
          R"("class":"urgent","team":"t","timeout_ms":9,"count":3,)"
          R"("every_us":4500})");

  REQUIRE(Items.size() == 4);
  REQUIRE(Items[0].Id == "r-0");
  REQUIRE(Items[0].Group == "r");
  REQUIRE(Items[1].At == Millis(5));
  REQUIRE(Items[2].Id == "r-1");
  REQUIRE(Items[3].At == Millis(10));
}

// Guards against an invalid trace that is accepted, or reported without file
// and line.
TEST_CASE("a trace error names file, line, field and the value found") {
  REQUIRE_THAT(traceError("\n{\"at_ms\":"),
               Catch::StartsWith("a.jsonl:2: line: found '{\"at_ms\":'"));
  REQUIRE_THAT(traceError(R"({"at_ms":-1})"),
               Catch::StartsWith("a.jsonl:1: at_ms: found '-1'"));
  REQUIRE_THAT(traceError(R"({"at_ms":0,"kind":"jobs"})"),
               Catch::StartsWith("a.jsonl:1: kind: found '\"jobs\"'"));
  REQUIRE_THAT(traceError(Job + "\n" + Job),
               Catch::StartsWith("a.jsonl:2: id: found '\"j\"'"));
  REQUIRE_THAT(traceError(R"({"tsks":2,)" + Job.substr(1)),
               Catch::StartsWith("a.jsonl:1: tsks: found '2'"));
}

// Guards against an outcome without a bound, which could never fail.
TEST_CASE("an outcome needs exactly one bound") {
  std::string Start = R"({"name":"n","deployment":"d","measure":"lost")";

  REQUIRE(parseOutcomes("o", Start + R"(,"at_most":0})").size() == 1);
  for (const char *End : {"}", R"(,"at_most":0,"at_least":0})"})
    REQUIRE_THAT(errorOf([&] { parseOutcomes("o", Start + End); }),
                 Catch::StartsWith("o:1: at_least: found"));
}

// Guards against a resumed stream that counts as complete although events are
// missing or repeated.
TEST_CASE("missing and repeated events are detected across a resume") {
  EventReader Events;
  Events.read("id: 0\ndata: a\n\nid: 1");
  Events.discardPartialLine();
  Events.read("id: 1\ndata: b\n\n");

  REQUIRE(Events.nextId() == 2);
  REQUIRE_FALSE(Events.hasSequenceError());

  SECTION("a repeat") { Events.read("id: 0\n"); }
  SECTION("a gap") { Events.read("id: 3\n"); }
  SECTION("an id that is not a number") { Events.read("id: x\n"); }
  REQUIRE(Events.hasSequenceError());
}
