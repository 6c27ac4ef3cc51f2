#include "daisyspool/scheduling/TailModel.h"
#include "daisyspool/core/Errors.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using namespace daisyspool::scheduling;
using workload::ImageId;

namespace {

const TimePoint Now{Millis(1000000)};

Assignment serving(const std::string &Image, std::int64_t Tail) {
  Assignment Run;
  Run.Image = ImageId(Image);
  Run.TailTarget = Millis(100);
  Run.Load = Tail;
  return Run;
}

Assignment filling(const std::string &Image) {
  Assignment Run;
  Run.Image = ImageId(Image);
  Run.Filling = MilliCores(3000);
  Run.Load = 3000;
  return Run;
}

VmState vm(const std::vector<Assignment> &Runs) {
  VmState Result;
  std::uint32_t Index = 0;
  for (const Assignment &Run : Runs)
    Result.assign({JobId("job"), 0, 0, Index++}, Run);
  return Result;
}

double predict(const TailModel &Model, const VmState &Vm,
               const std::string &Image, TimePoint At = Now) {
  return Model.predict(Model.presentTails(Vm, At), ImageId(Image), At);
}

/// Shows the model a service alone, then beside a loud and a quiet image.
void teach(TailModel &Model) {
  for (int I = 0; I < 40; ++I) {
    Model.observe(vm({serving("s", 40)}), Now);
    Model.observe(vm({serving("s", 90), filling("loud")}), Now);
    Model.observe(vm({serving("s", 41), filling("quiet")}), Now);
  }
}

} // namespace

// Load pattern: few pairs of images disturb each other. Guards against batch
// that is kept from VMs it would leave alone.
TEST_CASE("the tail model tells quiet pairs from loud ones") {
  TailModel Model;
  teach(Model);
  VmState Vm = vm({serving("s", 40)});
  REQUIRE(predict(Model, Vm, "loud") > 0.8);
  REQUIRE(predict(Model, Vm, "quiet") < 0.5);
  REQUIRE(Model.harmlessTo(ImageId("quiet"), Now) ==
          std::vector<ImageId>{ImageId("s")});
  REQUIRE(Model.harmlessTo(ImageId("loud"), Now).empty());
  REQUIRE(predict(Model, vm({}), "loud") == 0);
}

// Load pattern: a worker that turns slow, with tails of 50 times the target.
// Guards against pairs that are then taken for loud and block all VMs.
TEST_CASE("a slow worker teaches nothing about its neighbours") {
  TailModel Model;
  teach(Model);
  for (int I = 0; I < 40; ++I)
    Model.observe(vm({serving("s", 5000), filling("quiet")}), Now);
  REQUIRE(predict(Model, vm({serving("s", 40)}), "quiet") < 0.5);
}

// Load pattern: a service whose own load moves its tail from 0.25 to 0.65 of
// the target within 10 s, on all VMs alike, while different batch comes and
// goes beside its tasks. Guards against swings that are blamed on whatever
// fills at the time, which kept batch from most of the VMs that it leaves
// alone.
TEST_CASE("a service's own load is not blamed on its neighbours") {
  TailModel Model;
  TimePoint At = Now;
  // Batch is at work mostly while the service is busy.
  for (int Step = 0; Step < 60; ++Step) {
    bool Busy = Step % 20 >= 10;
    std::int64_t Tail = Busy ? 65 : 25;
    At += Millis(500);
    for (int N = 0; N < 6; ++N) {
      std::vector<Assignment> Runs{serving("s", Tail + (Step + N) % 3)};
      if (Busy && N < 2)
        Runs.push_back(filling("quiet"));
      if (Busy && N == 2) {
        Runs[0].Load = Tail * 3 / 2;
        Runs.push_back(filling("loud"));
      }
      VmState Vm = vm(Runs);
      Vm.Id = VmId("vm" + std::to_string(N));
      Model.observe(Vm, At);
    }
  }
  REQUIRE(Model.harmlessTo(ImageId("quiet"), At) ==
          std::vector<ImageId>{ImageId("s")});
  REQUIRE(Model.harmlessTo(ImageId("loud"), At).empty());
  VmState Idle = vm({serving("s", 25)});
  REQUIRE(predict(Model, Idle, "quiet", At) < 0.8);
  VmState BusyVm = vm({serving("s", 65)});
  REQUIRE(predict(Model, BusyVm, "quiet", At) < 0.8);
  REQUIRE(predict(Model, BusyVm, "loud", At) > 0.8);
}

// Guards against a row that the store refuses for its size, which would stop
// every transaction of the leader.
TEST_CASE("what was learned stays within one row of the store") {
  constexpr std::size_t RowBytes = 65536;
  TailModel Model;
  for (int S = 0; S < 60; ++S)
    for (int F = 0; F < 60; ++F)
      Model.observe(
          vm({serving("serving-image-name-" + std::to_string(S), 40 + F % 2),
              filling("filling-image-name-" + std::to_string(F))}),
          Now);
  REQUIRE(Model.encode(Now).size() < RowBytes * 3 / 4);
}

// Guards against the same where each service has other batch beside it: the
// names alone would fill the row.
TEST_CASE("the names that were learned stay within one row of the store") {
  constexpr std::size_t RowBytes = 65536;
  TailModel Model;
  for (int S = 0; S < 60; ++S)
    for (int F = 0; F < 60; ++F)
      Model.observe(
          vm({serving("serving-image-name-" + std::to_string(S), 40 + F % 2),
              filling("filling-image-name-" + std::to_string(S * 60 + F))}),
          Now);
  REQUIRE(Model.encode(Now).size() < RowBytes * 3 / 4);
}

// Guards against a new leader that has to learn every pair again, at the cost
// of the services beside which it tries them.
TEST_CASE("what was learned passes to the next leader") {
  TailModel First;
  teach(First);
  TailModel Next;
  Next.decode(First.encode(Now), Now);
  VmState Vm = vm({serving("s", 40)});
  REQUIRE(predict(Next, Vm, "loud") == Approx(predict(First, Vm, "loud")));
  REQUIRE(Next.harmlessTo(ImageId("quiet"), Now) ==
          First.harmlessTo(ImageId("quiet"), Now));
  REQUIRE_THROWS_AS(Next.decode("?", Now), ProtocolError);
}
