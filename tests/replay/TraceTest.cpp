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

template <typename Parse> std::string mistakeIn(Parse Read) {
  try {
    Read();
  } catch (const SettingsError &Mistake) {
    return Mistake.what();
  }
  FAIL("accepted");
  return "";
}

std::string traceMistake(const std::string &Text) {
  return mistakeIn([&] { parseTrace("a.jsonl", Text); });
}

} // namespace

// Guards against repeats that share an id, and so look like one request.
TEST_CASE("repeats of a trace line are spaced and have their own ids") {
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

// Guards against a mistake that is accepted, or reported without its place.
TEST_CASE("a mistake in a trace names file, line, field and what was found") {
  REQUIRE_THAT(traceMistake("\n{\"at_ms\":"),
               Catch::StartsWith("a.jsonl:2: line: found '{\"at_ms\":'"));
  REQUIRE_THAT(traceMistake(R"({"at_ms":-1})"),
               Catch::StartsWith("a.jsonl:1: at_ms: found '-1'"));
  REQUIRE_THAT(traceMistake(R"({"at_ms":0,"kind":"jobs"})"),
               Catch::StartsWith("a.jsonl:1: kind: found '\"jobs\"'"));
  REQUIRE_THAT(traceMistake(Job + "\n" + Job),
               Catch::StartsWith("a.jsonl:2: id: found '\"j\"'"));
  REQUIRE_THAT(traceMistake(R"({"tsks":2,)" + Job.substr(1)),
               Catch::StartsWith("a.jsonl:1: tsks: found '2'"));
}

// Guards against an outcome without a bound, which could never fail.
TEST_CASE("an outcome needs exactly one bound") {
  std::string Start = R"({"name":"n","deployment":"d","measure":"lost")";

  REQUIRE(parseOutcomes("o", Start + R"(,"at_most":0})").size() == 1);
  for (const char *End : {"}", R"(,"at_most":0,"at_least":0})"})
    REQUIRE_THAT(mistakeIn([&] { parseOutcomes("o", Start + End); }),
                 Catch::StartsWith("o:1: at_least: found"));
}

// Guards against a resumed stream that counts as whole although events are
// missing or repeated.
TEST_CASE("events of a cut stream are followed over its resume") {
  EventReader Events;
  Events.read("id: 0\ndata: a\n\nid: 1");
  Events.cut();
  Events.read("id: 1\ndata: b\n\n");

  REQUIRE(Events.next() == 2);
  REQUIRE_FALSE(Events.broken());

  SECTION("a repeat") { Events.read("id: 0\n"); }
  SECTION("a gap") { Events.read("id: 3\n"); }
  SECTION("nonsense") { Events.read("id: x\n"); }
  REQUIRE(Events.broken());
}
