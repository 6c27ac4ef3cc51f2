#include "daisyspool/placement/placement.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <vector>

using namespace daisyspool;
using namespace daisyspool::placement;

namespace {

Resources size(std::int64_t Cpu, std::int64_t Memory) {
  return {MilliCores(Cpu), MebiBytes(Memory), Accelerators(0)};
}

TaskSpec spec(TaskClass Class, const Resources &Declared,
              bool Reclaimable = false) {
  TaskSpec Made;
  Made.Declared = Declared;
  Made.Kind = KindIndex(static_cast<std::size_t>(Class));
  Made.Team = TeamIndex(0);
  Made.Class = Class;
  Made.Reclaimable = Reclaimable;
  return Made;
}

struct PlacerFixture {
  FleetView Fleet;
  UsageEstimator Usage;
  UrgentReserve Reserve;
  Placer Chooser{{}, Usage, Reserve, nullptr, nullptr};

  explicit PlacerFixture(std::size_t Vms, std::int64_t Cpu = 8000) {
    for (std::size_t I = 0; I < Vms; ++I)
      Fleet.addVm({size(Cpu, 16384), RackIndex(I / 3), DomainIndex(I % 3)});
  }
};

} // namespace

// Guards against batch tasks that fill the fleet, so that urgent tasks wait for
// an eviction.
TEST_CASE("batch leaves the urgent reserve free") {
  PlacerFixture S(3, 2000);
  TimePoint Now{};
  std::size_t Placed = 0;
  for (int I = 0; I < 10; ++I) {
    auto Task = spec(TaskClass::Batch, size(1000, 1024));
    auto Decision = S.Chooser.place({Task}, S.Fleet, Now);
    if (auto *Chosen = std::get_if<Placement>(&Decision)) {
      S.Fleet.start(Task, Chosen->Vm, Chosen->Held, Now);
      ++Placed;
    } else {
      REQUIRE(std::get<NoRoom>(Decision).Cause == NoRoomCause::Reserve);
    }
  }
  REQUIRE(Placed == 5);

  auto Urgent = S.Chooser.place({spec(TaskClass::Urgent, size(1000, 1024))},
                                S.Fleet, Now);
  REQUIRE(std::holds_alternative<Placement>(Urgent));
}

// Guards against evicting the task that loses the most work, or more tasks
// than needed.
TEST_CASE("the recently checkpointed task is evicted first and alone") {
  PlacerFixture S(1);
  auto Batch = spec(TaskClass::Batch, size(4000, 1024));
  TaskIndex Old = S.Fleet.start(Batch, VmIndex(0), Batch.Declared, TimePoint{});
  TaskIndex Saved =
      S.Fleet.start(Batch, VmIndex(0), Batch.Declared, TimePoint{});
  TimePoint Now{std::chrono::seconds(100)};
  S.Fleet.checkpointed(Saved, Now - std::chrono::seconds(1));

  PlacementRequest Request{spec(TaskClass::Urgent, size(3000, 1024))};
  Request.MayEvict = EvictionScope::Batch;
  auto Decision =
      std::get<PlacementAfterEviction>(S.Chooser.place(Request, S.Fleet, Now));

  REQUIRE(Decision.Reclaims.size() == 1);
  REQUIRE(Decision.Reclaims[0].Task == Saved);
  REQUIRE(Decision.Reclaims[0].Task != Old);
  REQUIRE(Decision.Why.LostWork == Approx(4));
}

// Guards against an eviction where throttling is enough.
TEST_CASE("reclaimable batch is throttled before it is evicted") {
  PlacerFixture S(1);
  auto Service = spec(TaskClass::Session, size(6000, 1024));
  S.Fleet.start(Service, VmIndex(0), size(2000, 1024), TimePoint{});
  auto Batch = spec(TaskClass::Batch, size(5000, 1024), true);
  S.Fleet.start(Batch, VmIndex(0), Batch.Declared, TimePoint{});

  PlacementRequest Request{spec(TaskClass::Urgent, size(2000, 1024))};
  Request.MayEvict = EvictionScope::Batch;
  auto Decision = std::get<PlacementAfterEviction>(
      S.Chooser.place(Request, S.Fleet, TimePoint{}));

  REQUIRE(Decision.Reclaims.size() == 1);
  REQUIRE(Decision.Reclaims[0].Do == ReclaimStep::Throttle);
  REQUIRE(Decision.Reclaims[0].Held.Cpu == MilliCores(4000));
}

// Guards against the loss of all replicas with one rack or failure domain.
TEST_CASE("a group spreads over failure domains within its rack limit") {
  PlacerFixture S(9);
  PlacementRules Rules;
  Rules.MaxPerRack = 1;
  auto Replica = spec(TaskClass::Session, size(1000, 1024));
  Replica.Group = GroupIndex(7);
  for (int I = 0; I < 3; ++I) {
    auto Decision = std::get<Placement>(
        S.Chooser.place({Replica, &Rules}, S.Fleet, TimePoint{}));
    S.Fleet.start(Replica, Decision.Vm, Decision.Held, TimePoint{});
  }

  for (std::size_t I = 0; I < 3; ++I) {
    REQUIRE(S.Fleet.groupIn(GroupIndex(7), DomainIndex(I)) == 1);
    REQUIRE(S.Fleet.groupIn(GroupIndex(7), RackIndex(I)) == 1);
  }
  auto Fourth = S.Chooser.place({Replica, &Rules}, S.Fleet, TimePoint{});
  REQUIRE(std::get<NoRoom>(Fourth).Cause == NoRoomCause::Rules);
}

// Guards against infeasible jobs that are queued for ever, and against the
// rejection of a job that waits only because a VM is temporarily closed.
TEST_CASE("infeasible jobs are rejected and jobs without room now are not") {
  PlacerFixture S(3);
  auto Large = spec(TaskClass::Batch, size(9000, 1024));
  auto Small = spec(TaskClass::Batch, size(1000, 1024));
  PlacementRules Rules;
  REQUIRE(std::holds_alternative<NeverFits>(
      checkFeasible(Large, Rules, 1, S.Fleet)));

  Rules.AllowedDomains = {DomainIndex(1)};
  Rules.MaxPerVm = 1;
  REQUIRE(
      std::get<Feasible>(checkFeasible(Small, Rules, 1, S.Fleet)).FittingVms ==
      1);
  REQUIRE(std::holds_alternative<RulesUnsatisfiable>(
      checkFeasible(Small, Rules, 2, S.Fleet)));
  S.Fleet.setOpen(VmIndex(1), false);
  REQUIRE(std::holds_alternative<Feasible>(
      checkFeasible(Small, Rules, 1, S.Fleet)));

  Rules.AvoidedDomains = {DomainIndex(1)};
  REQUIRE(std::holds_alternative<RulesUnsatisfiable>(
      checkFeasible(Small, Rules, 1, S.Fleet)));
}

// Guards against estimates that follow a single report, or that ignore
// declared sizes that are too small.
TEST_CASE("estimates need several observations and follow use up and down") {
  UsageEstimator Usage;
  Resources Declared = size(4000, 4096);
  Usage.observe(KindIndex(1), Declared, size(1000, 1024));
  REQUIRE(Usage.estimate(KindIndex(1), Declared).Size == Declared);

  for (int I = 0; I < 400; ++I) {
    Usage.observe(KindIndex(1), Declared, size(1000, 1024));
    Usage.observe(KindIndex(2), Declared, size(16000, 16384));
  }
  auto Over = Usage.estimate(KindIndex(1), Declared).Size;
  REQUIRE(Over.Cpu >= MilliCores(1000));
  REQUIRE(Over.Cpu <= MilliCores(1500));
  REQUIRE(Usage.estimate(KindIndex(2), Declared).Size.Memory >=
          MebiBytes(16384));
}

// Guards against a VM that is committed beyond its resources and a task that
// is evicted more than three times, in any order of starts, ends, throttles
// and losses; the expected sums are recomputed from the tasks of each VM.
TEST_CASE("no sequence of decisions overcommits a VM or exceeds MaxEvictions") {
  bool Held = rc::check("placement keeps its limits", [] {
    PlacerFixture S(4, 4000);
    std::vector<TaskIndex> Running;
    TimePoint Now{};
    auto Drop = [&](TaskIndex Task) {
      std::erase(Running, Task);
      S.Fleet.stop(Task);
    };
    int Steps = *rc::gen::inRange(1, 120);
    for (int I = 0; I < Steps; ++I) {
      Now += Millis(500);
      int Action = *rc::gen::inRange(0, 8);
      if (Action < 5) {
        auto Class = static_cast<TaskClass>(*rc::gen::inRange(0, 4));
        auto Task = spec(
            Class,
            size(*rc::gen::inRange(100, 4200), *rc::gen::inRange(100, 9000)),
            Class == TaskClass::Batch && Action < 3);
        Task.Evictions =
            static_cast<std::uint8_t>(*rc::gen::inRange(0, MaxEvictions + 1));
        PlacementRequest Request{Task};
        Request.MayEvict = Class == TaskClass::Batch ? EvictionScope::None
                                                     : EvictionScope::Batch;
        auto Decision = S.Chooser.place(Request, S.Fleet, Now);
        if (auto *Chosen = std::get_if<Placement>(&Decision))
          Running.push_back(S.Fleet.start(Task, Chosen->Vm, Chosen->Held, Now));
        if (auto *Chosen = std::get_if<PlacementAfterEviction>(&Decision)) {
          for (const Reclaim &Each : Chosen->Reclaims) {
            RC_ASSERT(S.Fleet.task(Each.Task).Vm == Chosen->Vm);
            RC_ASSERT(S.Fleet.task(Each.Task).Class == TaskClass::Batch);
            if (Each.Do == ReclaimStep::Throttle) {
              S.Fleet.resize(Each.Task, Each.Held);
              continue;
            }
            RC_ASSERT(S.Fleet.task(Each.Task).Evictions < MaxEvictions);
            Drop(Each.Task);
          }
          // Throws Overcommitted if the reclaims free too little.
          Running.push_back(S.Fleet.start(Task, Chosen->Vm, Chosen->Held, Now));
        }
      } else if (Action == 5 && !Running.empty()) {
        Drop(Running[static_cast<std::size_t>(
            *rc::gen::inRange<int>(0, static_cast<int>(Running.size())))]);
      } else if (Action == 7 && !Running.empty()) {
        // Lends processors, so that Held no longer covers what is declared.
        TaskIndex Lender = Running[static_cast<std::size_t>(
            *rc::gen::inRange<int>(0, static_cast<int>(Running.size())))];
        Resources Kept = S.Fleet.task(Lender).Held.unpacked();
        Kept.Cpu = MilliCores(Kept.Cpu.value() / 4);
        Kept.Memory = MebiBytes(Kept.Memory.value() / 4);
        S.Fleet.resize(Lender, Kept);
      } else if (Action == 6) {
        VmIndex Vm(static_cast<std::size_t>(*rc::gen::inRange(0, 4)));
        S.Fleet.setOpen(Vm, !S.Fleet.vm(Vm).Open);
      }

      std::vector<Resources> Firm(4);
      std::vector<Resources> Sum(4);
      for (TaskIndex Each : Running) {
        const TaskState &State = S.Fleet.task(Each);
        Sum[State.Vm.index()] = Sum[State.Vm.index()] + State.Held.unpacked();
        if (!State.Reclaimable)
          Firm[State.Vm.index()] =
              Firm[State.Vm.index()] + State.Declared.unpacked();
      }
      std::vector<std::int64_t> Ready(3);
      for (std::size_t Vm = 0; Vm < 4; ++Vm) {
        const VmState &Host = S.Fleet.vm(VmIndex(Vm));
        RC_ASSERT(Sum[Vm] == Host.Held && Firm[Vm] == Host.Firm);
        RC_ASSERT(Sum[Vm].fitsIn(Host.Capacity));
        RC_ASSERT(Firm[Vm].fitsIn(Host.Capacity));
        if (Host.Open)
          Ready[Host.Domain.index()] += S.Fleet.slotsIn(Host.freeFirm());
      }
      for (std::size_t D = 0; D < 3; ++D)
        RC_ASSERT(Ready[D] == S.Fleet.readySlots(DomainIndex(D)));
      RC_ASSERT(S.Fleet.taskCount() == Running.size());
    }
  });
  REQUIRE(Held);
}
