#include "daisyspool/core/Errors.h"
#include "daisyspool/workload/workload.h"

#include "support/OddValues.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace daisyspool;
using namespace daisyspool::workload;

// Guards against a stored job that another process reads differently.
TEST_CASE("a stored job keeps every field") {
  JobRecord Job;
  Job.Id = JobId("5c0e7a21d94b36f8");
  Job.Accepted = WallMillis(1234);
  Job.Policy = {QueueId("q"), ServiceId("s"), 2, 3, 1.5, Millis(250)};
  Job.Definition.Spec = "text";
  StepDefinition Step;
  Step.Count = 4;
  Step.Needs = {MilliCores(500), MebiBytes(256), Accelerators(1)};
  Step.After = {0};
  Step.RequiredLabel = LabelId("a");
  Step.PreferredRack = RackId("r1-3");
  Step.MaxPerVm = 2;
  Step.Checkpoints = Step.LongRunning = Step.FillsIdleCpu = true;
  Step.Image = ImageId("i");
  Step.TailTarget = Millis(125);
  Step.MaxUnavailable = 1;
  Job.Definition.Steps = {StepDefinition{}, Step};
  Job.Definition.Repeats = {3, WallMillis(99), Millis(500)};

  JobRecord Decoded = decodeJob(encodeJob(Job));
  REQUIRE(Decoded.Id == Job.Id);
  REQUIRE(Decoded.Accepted == Job.Accepted);
  REQUIRE(Decoded.Policy.SlackFactor == 1.5);
  const StepDefinition &DecodedStep = Decoded.Definition.Steps.at(1);
  REQUIRE(DecodedStep.Needs == Step.Needs);
  REQUIRE(DecodedStep.After == Step.After);
  REQUIRE(DecodedStep.PreferredRack == Step.PreferredRack);
  REQUIRE(DecodedStep.MaxPerVm == 2);
  REQUIRE(DecodedStep.LongRunning);
  REQUIRE_FALSE(DecodedStep.Gang);
  REQUIRE(DecodedStep.MaxUnavailable == 1);
  REQUIRE(Decoded.Definition.Repeats.Interval == Millis(500));
  REQUIRE_THROWS_AS(decodeJob("?"), ProtocolError);
}

// Guards against mistaking one task for another.
TEST_CASE("task names round-trip and malformed ones are rejected") {
  TaskName Name{JobId("5c0e7a21d94b36f8"), 1, 2, 17};
  REQUIRE(toString(Name) == "5c0e7a21d94b36f8.1.2.17");
  REQUIRE(parseTaskName(toString(Name)) == Name);
  for (const char *Malformed :
       {"", "a", "a.1", "a.1.2", "a.1.x.2", ".1.2.3", "a.1.2."})
    REQUIRE_FALSE(parseTaskName(Malformed));
}

// Guards against routing a request by a shorter prefix or by another host.
TEST_CASE("a route is chosen by host and longest path prefix") {
  FleetConfig Config;
  Config.Routes = {{"h", "/a/", {QueueId("short"), {}, 0, 1, 1, {}}},
                   {"h", "/a/b/", {QueueId("long"), {}, 0, 1, 1, {}}},
                   {"other", "/a/b/c/", {QueueId("other"), {}, 0, 1, 1, {}}}};
  REQUIRE(Config.route("h", "/a/b/c/1")->Policy.Name == QueueId("long"));
  REQUIRE(Config.route("h", "/a/x")->Policy.Name == QueueId("short"));
  REQUIRE(Config.route("h", "/b/") == nullptr);
  REQUIRE(Config.route("none", "/a/") == nullptr);
}

// Guards against a stored job of another writer that exhausts the stack.
TEST_CASE("a deeply nested stored job throws ProtocolError") {
  REQUIRE_THROWS_AS(decodeJob(testing::deepMsgpack()), ProtocolError);
}

// Guards against a stored job whose numbers wrap when they are read, overflow
// sums, exhaust the memory or refer to a step that does not exist.
TEST_CASE("a stored job with a number out of range throws ProtocolError") {
  JobRecord Job;
  Job.Id = JobId("5c0e7a21d94b36f8");
  Job.Policy = {QueueId("q"), ServiceId("s"), 2, 3, 1.5, Millis(250)};
  Job.Definition.Steps = {StepDefinition{}, StepDefinition{}};
  Job.Definition.Steps[1].After = {0};
  Job.Definition.Steps[1].MaxUnavailable = 1;
  std::string Good = encodeJob(Job);
  REQUIRE_NOTHROW(decodeJob(Good));
  for (const char *Path :
       {"/1", "/2/2", "/2/3", "/2/4", "/2/5", "/4/0/0", "/4/0/1", "/4/0/2",
        "/4/0/3", "/4/0/4", "/4/0/8", "/4/0/9", "/4/0/11", "/4/1/12",
        "/4/1/5/0", "/5/0", "/5/1", "/5/2"})
    for (const nlohmann::json &Odd :
         {nlohmann::json(-1), nlohmann::json(1e30), nlohmann::json(-1e30),
          nlohmann::json(std::numeric_limits<double>::quiet_NaN()),
          nlohmann::json(std::numeric_limits<std::int64_t>::max()),
          nlohmann::json(std::numeric_limits<std::uint64_t>::max()),
          nlohmann::json("1"), nlohmann::json(true)}) {
      INFO(Path << " " << Odd);
      REQUIRE_THROWS_AS(decodeJob(testing::withElement(Good, Path, Odd)),
                        ProtocolError);
    }
  // Steps that do not exist, or that wait for each other.
  for (int Odd : {1, 2, 7})
    REQUIRE_THROWS_AS(decodeJob(testing::withElement(Good, "/4/1/5/0", Odd)),
                      ProtocolError);
  REQUIRE_THROWS_AS(decodeJob(testing::withElement(Good, "/4/0/0", 1000000)),
                    ProtocolError);
}

// Guards against text that an agent cannot send to its worker as JSON: each VM
// on which the job is placed would fail in turn.
TEST_CASE("a stored job with text that is not UTF-8 throws ProtocolError") {
  JobRecord Job;
  Job.Id = JobId("5c0e7a21d94b36f8");
  Job.Definition.Steps = {StepDefinition{}};
  // Every length of a sequence, and the ends of the excluded ranges.
  Job.Definition.Spec = "a\u00e9\u20ac\U0001F600\uD7FF\uE000\U0010FFFF";
  REQUIRE(decodeJob(encodeJob(Job)).Definition.Spec == Job.Definition.Spec);
  for (const char *Odd :
       {"\xff", "a\x80", "\xc3", "\xc3(", "\xe2\x82", "\xc0\xaf",
        "\xe0\x80\xaf", "\xed\xa0\x80", "\xf0\x80\x80\xaf", "\xf4\x90\x80\x80",
        "\xf5\x80\x80\x80"}) {
    Job.Definition.Spec = Odd;
    REQUIRE_THROWS_AS(decodeJob(encodeJob(Job)), ProtocolError);
  }
}
