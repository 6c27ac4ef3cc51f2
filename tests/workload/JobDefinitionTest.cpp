#include "daisyspool/core/Errors.h"
#include "daisyspool/workload/workload.h"

#include <catch2/catch.hpp>

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

  JobRecord Read = decodeJob(encodeJob(Job));
  REQUIRE(Read.Id == Job.Id);
  REQUIRE(Read.Accepted == Job.Accepted);
  REQUIRE(Read.Policy.SlackFactor == 1.5);
  const StepDefinition &Again = Read.Definition.Steps.at(1);
  REQUIRE(Again.Needs == Step.Needs);
  REQUIRE(Again.After == Step.After);
  REQUIRE(Again.PreferredRack == Step.PreferredRack);
  REQUIRE(Again.MaxPerVm == 2);
  REQUIRE(Again.LongRunning);
  REQUIRE_FALSE(Again.Gang);
  REQUIRE(Again.MaxUnavailable == 1);
  REQUIRE(Read.Definition.Repeats.Interval == Millis(500));
  REQUIRE_THROWS_AS(decodeJob("?"), ProtocolError);
}

// Guards against tasks that are taken for another's.
TEST_CASE("task names are read back, and only they") {
  TaskName Name{JobId("5c0e7a21d94b36f8"), 1, 2, 17};
  REQUIRE(toString(Name) == "5c0e7a21d94b36f8.1.2.17");
  REQUIRE(parseTaskName(toString(Name)) == Name);
  for (const char *Bad :
       {"", "a", "a.1", "a.1.2", "a.1.x.2", ".1.2.3", "a.1.2."})
    REQUIRE_FALSE(parseTaskName(Bad));
}

// Guards against a request that a shorter prefix or another host takes.
TEST_CASE("the longest prefix of the host is the route") {
  FleetConfig Config;
  Config.Routes = {{"h", "/a/", {QueueId("short"), {}, 0, 1, 1, {}}},
                   {"h", "/a/b/", {QueueId("long"), {}, 0, 1, 1, {}}},
                   {"other", "/a/b/c/", {QueueId("other"), {}, 0, 1, 1, {}}}};
  REQUIRE(Config.route("h", "/a/b/c/1")->Policy.Name == QueueId("long"));
  REQUIRE(Config.route("h", "/a/x")->Policy.Name == QueueId("short"));
  REQUIRE(Config.route("h", "/b/") == nullptr);
  REQUIRE(Config.route("none", "/a/") == nullptr);
}
