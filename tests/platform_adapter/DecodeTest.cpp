#include "Decode.h"
#include "WorkerClient.h"

#include "daisyspool/core/Errors.h"
#include "support/OddValues.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using namespace daisyspool::platform;
using namespace daisyspool::testing;

namespace {

const std::string GoodAnnouncement =
    R"({"service":"s","address":"10.0.0.1:1","zone":"z","version":"v",)"
    R"("slots":8,"state":"ready","cold_remaining_ms":0,)"
    R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},)"
    R"("labels":["a","r1-3"],"clock_ms":5,"sequence":4,"born":77,)"
    R"("remaining_ms":9})";

const std::string GoodConfig =
    R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/",)"
    R"("service":"s","priority":2,"max_attempts":3,"slack_factor":2.0,)"
    R"("target_latency_ms":1000}],"services":[{"name":"s",)"
    R"("admission_check":true,"standby":false}],)"
    R"("limits":{"max_body_bytes":1000}})";

} // namespace

// Guards against a field of a caller's job that is lost or mixed up with
// another.
TEST_CASE("the fields of a caller's job are decoded") {
  auto Job = decodeJobBody(
      R"({"spec":"s","steps":[{"count":4,"cpu":500,"mem_mb":256,)"
      R"("estimated_ms":900,"affinity":"r1-3","anti_affinity":2},)"
      R"({"count":20,"cpu":2000,"after":[0],"checkpointing":true,)"
      R"("fills":true,"image":"i","target_ms":125,"may_miss":1}],)"
      R"("repetitions":3,"first_run_ms":1000,"interval_ms":2000})");
  REQUIRE(Job.Spec == "s");
  REQUIRE(Job.Steps.size() == 2);
  REQUIRE(Job.Steps[0].PreferredRack == RackId("r1-3"));
  REQUIRE(Job.Steps[0].MaxPerVm == 2);
  REQUIRE(Job.Steps[1].Checkpoints);
  REQUIRE(Job.Steps[1].FillsIdleCpu);
  REQUIRE(Job.Steps[1].TailTarget == Millis(125));
  REQUIRE(Job.Steps[1].MaxUnavailable == 1);
  REQUIRE(Job.Repeats.Times == 3);
}

// Guards against a malformed body that terminates the process or is accepted.
TEST_CASE("malformed jobs throw ProtocolError") {
  for (const char *Bad :
       {"", "[]", "{}", R"({"steps":[]})", R"({"steps":[{"count":0}]})",
        R"({"steps":[{"count":"x"}]})", R"({"steps":[{"after":[0]}]})",
        R"({"steps":[{"count":1},{"after":[1]}]})",
        R"({"steps":[{"count":6000}]})", R"({"steps":5})"})
    REQUIRE_THROWS_AS(decodeJobBody(Bad), ProtocolError);
  auto WithSpec = [](std::size_t Bytes) {
    return R"({"spec":")" + std::string(Bytes, 's') +
           R"(","steps":[{"count":1}]})";
  };
  REQUIRE(decodeJobBody(WithSpec(4000)).Spec.size() == 4000);
  REQUIRE_THROWS_AS(decodeJobBody(WithSpec(4001)), ProtocolError);
}

// Guards against accepting a worker whose announcement, which another program
// writes, lacks a field or is malformed.
TEST_CASE("malformed announcements throw ProtocolError") {
  const std::string Good =
      R"({"service":"s","address":"10.0.0.1:1","zone":"z","version":"v",)"
      R"("slots":8,"state":"ready","cold_remaining_ms":0,)"
      R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},)"
      R"("labels":["a","r1-3"],"clock_ms":5,"sequence":4,"born":77})";
  auto Announcement = decodeAnnouncement("i-1", Good);
  REQUIRE(Announcement.Worker.Life == runner::WorkerLife(77));
  REQUIRE_FALSE(Announcement.Worker.Draining);
  REQUIRE(Announcement.Worker.Capacity.Cpu == MilliCores(16000));
  for (const char *Field : {"service", "address", "zone", "version", "slots",
                            "state", "cold_remaining_ms", "capacity", "labels",
                            "clock_ms", "sequence", "born"}) {
    INFO(Field);
    std::string Bad = Good;
    Bad.replace(Bad.find(Field), 1, "_");
    REQUIRE_THROWS_AS(decodeAnnouncement("i-1", Bad), ProtocolError);
  }
  std::string UnknownState = Good;
  UnknownState.replace(UnknownState.find("ready"), 5, "dizzy");
  REQUIRE_THROWS_AS(decodeAnnouncement("i-1", UnknownState), ProtocolError);
  REQUIRE_THROWS_AS(decodeAnnouncement("i-1", "\xff"), ProtocolError);
}

// Guards against a departure of another life that is taken for the present one,
// and against one that terminates the process.
TEST_CASE("the departure of a worker names its life, if it says so") {
  REQUIRE_FALSE(decodeDeparture("i-1", "").Life);
  REQUIRE_FALSE(decodeDeparture("i-1", "{}").Life);
  REQUIRE(decodeDeparture("i-1", R"({"born":77})").Life ==
          runner::WorkerLife(77));
  for (const char *Bad : {R"({"born":"x"})", R"({"born":-1})", "\xff"})
    REQUIRE_THROWS_AS(decodeDeparture("i-1", Bad), ProtocolError);
}

// Guards against a configuration whose routes lose their policy.
TEST_CASE("the operator's configuration is decoded") {
  auto Config = decodeConfig(
      R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/",)"
      R"("service":"s","priority":2,"max_attempts":3,"slack_factor":2.0,)"
      R"("target_latency_ms":1000}],"services":[{"name":"s",)"
      R"("admission_check":true,"standby":false}],)"
      R"("limits":{"max_body_bytes":1000}})");
  REQUIRE(Config.Version == ConfigVersion(7));
  REQUIRE(Config.route("h", "/p/x")->Policy.MaxAttempts == 3);
  REQUIRE(Config.Services.at(0).ChecksAdmission);
  REQUIRE(Config.MaxBodyBytes == 1000);
  REQUIRE_THROWS_AS(decodeConfig("{}"), ProtocolError);
}

// Guards against a deeply nested announcement of at most 4 MiB, which takes
// hundreds of megabytes on a machine that has 128 MB.
TEST_CASE("a deeply nested announcement throws ProtocolError") {
  REQUIRE_NOTHROW(decodeAnnouncement("i-1", GoodAnnouncement));
  for (const char *Value : {"\"v\"", "[\"a\",\"r1-3\"]", "8"})
    REQUIRE_THROWS_AS(
        decodeAnnouncement("i-1",
                           replaced(GoodAnnouncement, Value, deepJson(100000))),
        ProtocolError);
  REQUIRE_THROWS_AS(decodeAnnouncement("i-1", std::string(1000000, '[')),
                    ProtocolError);
}

// Guards against the same with many elements instead of many levels.
TEST_CASE("an announcement with too many elements throws ProtocolError") {
  std::string Many = "[0";
  for (int I = 0; I < 300000; ++I)
    Many += ",{}";
  REQUIRE_THROWS_AS(decodeAnnouncement(
                        "i-1", replaced(GoodAnnouncement, "\"v\"", Many + "]")),
                    ProtocolError);
}

// Guards against a number that wraps or is clipped when it is read: the worker
// gets a capacity that it does not have, and a sequence or life that no later
// announcement of the true worker exceeds.
TEST_CASE("an announcement with a number out of range throws ProtocolError") {
  for (const char *Field :
       {"\"cpu\":16000", "\"mem_mb\":32768", "\"gpu\":0", "\"clock_ms\":5",
        "\"sequence\":4", "\"born\":77", "\"remaining_ms\":9", "\"slots\":8"})
    for (const char *Odd :
         {"-1", "1e30", "-1e30", "1e400", "9223372036854775807",
          "18446744073709551615", "18446744073709551616", "true", "\"1\""}) {
      std::string Name(Field);
      // These may become negative.
      if (std::string_view(Odd) == "-1" &&
          (Name.starts_with("\"remaining_ms") ||
           Name.starts_with("\"clock_ms")))
        continue;
      INFO(Field << " " << Odd);
      REQUIRE_THROWS_AS(
          decodeAnnouncement(
              "i-1", replaced(GoodAnnouncement, Field,
                              Name.substr(0, Name.find(':') + 1) + Odd)),
          ProtocolError);
    }
}

// Guards against using a worker whose announcement has an address that nothing
// can be sent to.
TEST_CASE("an announcement with a port out of range throws ProtocolError") {
  for (const char *Odd :
       {"\"10.0.0.1:65536\"", "\"10.0.0.1:0\"", "\"10.0.0.1:-1\"",
        "\"10.0.0.1:99999999999999999999\"", "\"10.0.0.1:\"", "\"10.0.0.1\"",
        "\":80\"", "80", "null"}) {
    INFO(Odd);
    REQUIRE_THROWS_AS(
        decodeAnnouncement("i-1",
                           replaced(GoodAnnouncement, "\"10.0.0.1:1\"", Odd)),
        ProtocolError);
  }
  REQUIRE_NOTHROW(decodeAnnouncement(
      "i-1", replaced(GoodAnnouncement, "10.0.0.1:1", "10.0.0.1:65535")));
}

// Guards against a caller's job that exhausts the stack or the memory.
TEST_CASE("a deeply nested job throws ProtocolError") {
  for (const char *Field : {"spec", "unknown"})
    REQUIRE_THROWS_AS(decodeJobBody(R"({"steps":[{"count":1}],")" +
                                    std::string(Field) +
                                    "\":" + deepJson(100000) + "}"),
                      ProtocolError);
  REQUIRE_THROWS_AS(
      decodeJobBody(R"({"steps":[{"after":)" + deepJson(100000) + "}]}"),
      ProtocolError);
}

// Guards against a number of a caller's job that wraps when it is read
// (4294967297 tasks were one task) or overflows sums of the scheduler.
TEST_CASE("a job with a number out of range throws ProtocolError") {
  for (const char *Field : {"count", "cpu", "mem_mb", "gpu", "estimated_ms",
                            "anti_affinity", "target_ms", "may_miss"})
    for (const char *Odd : {"-1", "1e30", "-1e30", "4611686018427387904",
                            "18446744073709551617"}) {
      INFO(Field << " " << Odd);
      REQUIRE_THROWS_AS(decodeJobBody(R"({"steps":[{"count":1,")" +
                                      std::string(Field) + "\":" + Odd + "}]}"),
                        ProtocolError);
    }
  for (const char *Body :
       {R"({"steps":[{"count":4294967297}]})",
        R"({"steps":[{"count":1},{"after":[4294967296]}]})",
        R"({"steps":[{"count":1}],"repetitions":4294967297})",
        R"({"steps":[{"count":1}],"repetitions":4294967295})",
        R"({"steps":[{"count":5000}],"repetitions":5000})",
        R"({"steps":[{"count":1}],"first_run_ms":1e30})",
        R"({"steps":[{"count":1}],"interval_ms":9e18})"}) {
    INFO(Body);
    REQUIRE_THROWS_AS(decodeJobBody(Body), ProtocolError);
  }
}

// Guards against an operator's row that exhausts the stack of every entry.
TEST_CASE("a deeply nested configuration throws ProtocolError") {
  REQUIRE_NOTHROW(decodeConfig(GoodConfig));
  for (const char *Value :
       {"[{\"name\":\"s\",\"admission_check\":true,\"standby\":false}]",
        "\"h\"", "1000}]"})
    REQUIRE_THROWS_AS(
        decodeConfig(replaced(GoodConfig, Value, deepJson(100000))),
        ProtocolError);
}

// Guards against a policy whose numbers wrap when they are read.
TEST_CASE("a configuration with a number out of range throws ProtocolError") {
  for (const char *Field :
       {"\"version\":7", "\"priority\":2", "\"max_attempts\":3",
        "\"slack_factor\":2.0", "\"target_latency_ms\":1000",
        "\"max_body_bytes\":1000"})
    for (const char *Odd : {"-1", "1e30", "1e400", "18446744073709551615"}) {
      std::string Name(Field);
      INFO(Field << " " << Odd);
      REQUIRE_THROWS_AS(
          decodeConfig(replaced(GoodConfig, Field,
                                Name.substr(0, Name.find(':') + 1) + Odd)),
          ProtocolError);
    }
}

// Guards against a time of start that no true worker on the VM exceeds.
TEST_CASE("an announcement from the distant future throws ProtocolError") {
  REQUIRE_NOTHROW(
      decodeAnnouncement("i-1", replaced(GoodAnnouncement, "\"born\":77",
                                         "\"born\":1796457600000")));
  REQUIRE_THROWS_AS(
      decodeAnnouncement("i-1", replaced(GoodAnnouncement, "\"born\":77",
                                         "\"born\":9999999999999")),
      ProtocolError);
}
