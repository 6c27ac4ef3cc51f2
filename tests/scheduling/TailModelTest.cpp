#include "daisyspool/scheduling/TailModel.h"
#include "daisyspool/core/Errors.h"

#include "support/OddValues.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace daisyspool;
using namespace daisyspool::scheduling;
using workload::ImageId;

namespace {

const TimePoint Now{Millis(1000000)};

Assignment servingRun(const std::string &Image, std::int64_t Tail) {
  Assignment Run;
  Run.Image = ImageId(Image);
  Run.TailTarget = Millis(100);
  Run.Load = Tail;
  return Run;
}

Assignment bestEffortRun(const std::string &Image) {
  Assignment Run;
  Run.Image = ImageId(Image);
  Run.BestEffortCpu = MilliCores(3000);
  Run.Load = 3000;
  return Run;
}

VmState vmWithRuns(const std::vector<Assignment> &Runs) {
  VmState Result;
  std::uint32_t Index = 0;
  for (const Assignment &Run : Runs)
    Result.assign({JobId("job"), 0, 0, Index++}, Run);
  return Result;
}

double predict(const TailModel &Model, const VmState &Vm,
               const std::string &Image, TimePoint At = Now) {
  return Model.predict(Model.currentTails(Vm, At), ImageId(Image), At);
}

/// Reports a service alone, beside an interfering and beside a harmless image.
void train(TailModel &Model) {
  for (int I = 0; I < 40; ++I) {
    Model.observe(vmWithRuns({servingRun("s", 40)}), Now);
    Model.observe(vmWithRuns({servingRun("s", 90), bestEffortRun("noisy")}),
                  Now);
    Model.observe(vmWithRuns({servingRun("s", 41), bestEffortRun("quiet")}),
                  Now);
  }
}

} // namespace

// Load pattern: few pairs of images interfere. Guards against batch that is
// kept off VMs whose services it does not slow down.
TEST_CASE("the tail model distinguishes interfering from harmless pairs") {
  TailModel Model;
  train(Model);
  VmState Vm = vmWithRuns({servingRun("s", 40)});
  REQUIRE(predict(Model, Vm, "noisy") > 0.8);
  REQUIRE(predict(Model, Vm, "quiet") < 0.5);
  REQUIRE(Model.unaffectedImages(ImageId("quiet"), Now) ==
          std::vector<ImageId>{ImageId("s")});
  REQUIRE(Model.unaffectedImages(ImageId("noisy"), Now).empty());
  REQUIRE(predict(Model, vmWithRuns({}), "noisy") == 0);
}

// Load pattern: a worker becomes slow, with tails of 50 times the target.
// Guards against attributing these to a pair of images, which blocks all VMs
// for it.
TEST_CASE("the tail model ignores the tails of a slow worker") {
  TailModel Model;
  train(Model);
  for (int I = 0; I < 40; ++I)
    Model.observe(vmWithRuns({servingRun("s", 5000), bestEffortRun("quiet")}),
                  Now);
  REQUIRE(predict(Model, vmWithRuns({servingRun("s", 40)}), "quiet") < 0.5);
}

// Load pattern: a service whose own load moves its tail from 0.25 to 0.65 of
// the target within 10 s, on all VMs alike, while different batch comes and
// goes beside its tasks. Guards against attributing the swings to whatever
// batch runs at the time, which kept batch off most of the VMs whose services
// it does not slow down.
TEST_CASE("a service's own load is not attributed to best-effort tasks") {
  TailModel Model;
  TimePoint At = Now;
  // Batch runs mostly while the service is busy.
  for (int Step = 0; Step < 60; ++Step) {
    bool Busy = Step % 20 >= 10;
    std::int64_t Tail = Busy ? 65 : 25;
    At += Millis(500);
    for (int N = 0; N < 6; ++N) {
      std::vector<Assignment> Runs{servingRun("s", Tail + (Step + N) % 3)};
      if (Busy && N < 2)
        Runs.push_back(bestEffortRun("quiet"));
      if (Busy && N == 2) {
        Runs[0].Load = Tail * 3 / 2;
        Runs.push_back(bestEffortRun("noisy"));
      }
      VmState Vm = vmWithRuns(Runs);
      Vm.Id = VmId("vm" + std::to_string(N));
      Model.observe(Vm, At);
    }
  }
  REQUIRE(Model.unaffectedImages(ImageId("quiet"), At) ==
          std::vector<ImageId>{ImageId("s")});
  REQUIRE(Model.unaffectedImages(ImageId("noisy"), At).empty());
  VmState Idle = vmWithRuns({servingRun("s", 25)});
  REQUIRE(predict(Model, Idle, "quiet", At) < 0.8);
  VmState BusyVm = vmWithRuns({servingRun("s", 65)});
  REQUIRE(predict(Model, BusyVm, "quiet", At) < 0.8);
  REQUIRE(predict(Model, BusyVm, "noisy", At) > 0.8);
}

// Guards against a row that the store rejects for its size, which makes every
// transaction of the leader fail.
TEST_CASE("the encoded tail model fits in one row of the store") {
  constexpr std::size_t RowBytes = 65536;
  TailModel Model;
  for (int S = 0; S < 60; ++S)
    for (int F = 0; F < 60; ++F)
      Model.observe(
          vmWithRuns(
              {servingRun("serving-image-name-" + std::to_string(S),
                          40 + F % 2),
               bestEffortRun("filling-image-name-" + std::to_string(F))}),
          Now);
  REQUIRE(Model.encode(Now).size() < RowBytes * 3 / 4);
}

// Guards against the same failure when each service runs beside different
// batch: the names of the images alone would fill the row.
TEST_CASE("the tail model's image names fit in one row of the store") {
  constexpr std::size_t RowBytes = 65536;
  TailModel Model;
  for (int S = 0; S < 60; ++S)
    for (int F = 0; F < 60; ++F)
      Model.observe(
          vmWithRuns({servingRun("serving-image-name-" + std::to_string(S),
                                 40 + F % 2),
                      bestEffortRun("filling-image-name-" +
                                    std::to_string(S * 60 + F))}),
          Now);
  REQUIRE(Model.encode(Now).size() < RowBytes * 3 / 4);
}

// Guards against a new leader that has to learn every pair again, which slows
// down the services beside which it tries them.
TEST_CASE("the next leader restores the tail model") {
  TailModel Previous;
  train(Previous);
  TailModel Next;
  Next.decode(Previous.encode(Now), Now);
  VmState Vm = vmWithRuns({servingRun("s", 40)});
  REQUIRE(predict(Next, Vm, "noisy") == Approx(predict(Previous, Vm, "noisy")));
  REQUIRE(Next.unaffectedImages(ImageId("quiet"), Now) ==
          Previous.unaffectedImages(ImageId("quiet"), Now));
  REQUIRE_THROWS_AS(Next.decode("?", Now), ProtocolError);
}

// Guards against a stored model that exhausts the stack, or whose numbers make
// every later prediction infinite or not a number.
TEST_CASE("an odd stored tail model throws and leaves the model unchanged") {
  TailModel Trained;
  train(Trained);
  std::string Good = Trained.encode(Now);
  TailModel Model;
  REQUIRE_THROWS_AS(Model.decode(testing::deepMsgpack(), Now), ProtocolError);
  for (const char *Path :
       {"/1/0/1", "/1/0/2", "/1/0/3", "/1/0/4/0/0", "/1/0/4/0/1", "/1/0/4/0/2"})
    for (const nlohmann::json &Odd :
         {nlohmann::json(1e30), nlohmann::json(-1e30),
          nlohmann::json(std::numeric_limits<double>::quiet_NaN()),
          nlohmann::json(std::numeric_limits<double>::infinity()),
          nlohmann::json(std::numeric_limits<std::uint64_t>::max()),
          nlohmann::json(true)}) {
      INFO(Path << " " << Odd);
      REQUIRE_THROWS_AS(
          Model.decode(testing::withElement(Good, Path, Odd), Now),
          ProtocolError);
    }
  REQUIRE(Model.encode(Now) == TailModel().encode(Now));
}
