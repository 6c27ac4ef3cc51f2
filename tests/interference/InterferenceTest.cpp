#include "daisyspool/interference/interference.h"
#include "daisyspool/core/Random.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using namespace daisyspool::interference;

namespace {

constexpr KindIndex Service(0);
constexpr KindIndex Quiet(1);
constexpr KindIndex Noisy(2);
constexpr VmIndex Vm(0);

TimePoint at(double Seconds) {
  return TimePoint(Millis(static_cast<std::int64_t>(Seconds * 1000)));
}

/// A service (task 0), a quiet task (1) and a noisy task (2) on one VM. The
/// model was trained with each kind alone beside the service.
struct ResponderFixture {
  InterferenceModel Model;
  ColocationHistory History{Millis(60000)};
  NoiseResponder Responder;

  ResponderFixture() {
    for (int I = 0; I < 20; ++I) {
      Neighbour NoisyTask{TaskIndex(9), Noisy, 1, true};
      Neighbour QuietTask{TaskIndex(8), Quiet, 1, true};
      Model.observe(Service, LoadBand::Low, {&NoisyTask, 1}, 3, at(0));
      Model.observe(Service, LoadBand::Low, {&QuietTask, 1}, 1, at(0));
    }
    History.enter(Vm, TaskIndex(0), Service, at(0));
    History.enter(Vm, TaskIndex(1), Quiet, at(0));
    History.enter(Vm, TaskIndex(2), Noisy, at(0));
  }

  std::vector<Response> report(double Now, double Slowdown) {
    SlowdownReport Report{Vm,       TaskIndex(0), Service,    LoadBand::Low,
                          Slowdown, at(Now - 4),  at(Now - 2)};
    auto Steps =
        Responder.onReport(Report, Model, History, at(Now),
                           [](TaskIndex Task) { return Task.index() != 0; });
    for (const Response &Each : Steps)
      if (Each.Do == Step::Throttle || Each.Do == Step::Release)
        History.enter(Vm, Each.Task, Each.Task.index() == 1 ? Quiet : Noisy,
                      at(Now), Each.Do == Step::Throttle ? 0.25 : 1);
    return Steps;
  }
};

} // namespace

// Guards against a slowdown attributed to tasks that only run beside the noisy
// one.
TEST_CASE("the model separates the noisy kind from its neighbours") {
  InterferenceModel Model;
  Random Seeded(7);
  for (int I = 0; I < 300; ++I) {
    bool NoisyPresent = Seeded.below(2) == 0;
    std::vector<Neighbour> Beside{{TaskIndex(1), Quiet, 1, true}};
    if (NoisyPresent)
      Beside.push_back({TaskIndex(2), Noisy, 1, true});
    Model.observe(Service, LoadBand::High, Beside, NoisyPresent ? 3 : 1, at(I));
  }
  REQUIRE(Model.pair(Service, Noisy, LoadBand::High, at(300)).Excess > 1.6);
  REQUIRE(Model.pair(Service, Quiet, LoadBand::High, at(300)).Excess < 0.2);
  REQUIRE(Model.pair(Service, Noisy, LoadBand::Low, at(300)).Excess == 0);
}

// Guards against estimates that remain after the behaviour has changed.
TEST_CASE("estimates without new reports decay with the half-life") {
  ResponderFixture S;
  double Before = S.Model.pair(Service, Noisy, LoadBand::Low, at(0)).Excess;
  REQUIRE(S.Model.pair(Service, Noisy, LoadBand::Low, at(900)).Excess ==
          Approx(Before / 2));
}

// Guards against a past slowdown attributed to the current tasks.
TEST_CASE("a late report is attributed to the neighbours of its window") {
  ColocationHistory History(Millis(60000));
  History.enter(Vm, TaskIndex(2), Noisy, at(0));
  History.leave(Vm, TaskIndex(2), at(10));
  History.enter(Vm, TaskIndex(1), Quiet, at(10));

  auto Then = History.neighboursDuring(Vm, at(5), at(10));
  REQUIRE(Then.size() == 2);
  REQUIRE(Then[0].Task == TaskIndex(2));
  REQUIRE(Then[0].Presence == Approx(1));
  REQUIRE_FALSE(Then[0].Current);
  REQUIRE(Then[1].Presence == 0);
}

// Guards against a slowdown attributed to a task whose handle belonged to
// another task before, which moved quiet tasks in the benchmark.
TEST_CASE("a reused handle is a separate neighbour") {
  ColocationHistory History(Millis(60000));
  History.enter(Vm, TaskIndex(2), Noisy, at(0));
  History.enter(Vm, TaskIndex(2), Noisy, at(2), 0.25);
  History.leave(Vm, TaskIndex(2), at(4));
  History.enter(Vm, TaskIndex(2), Quiet, at(6));

  auto Seen = History.neighboursDuring(Vm, at(0), at(8));
  REQUIRE(Seen.size() == 2);
  REQUIRE(Seen[0].Kind == Noisy);
  REQUIRE(Seen[0].Presence == Approx(0.3125).margin(0.01));
  REQUIRE_FALSE(Seen[0].Current);
  REQUIRE(Seen[1].Kind == Quiet);
  REQUIRE(Seen[1].Presence == Approx(0.25).margin(0.01));
}

// Guards against moving or stopping a task before its throttling has lowered
// the slowdown, and against responses out of order.
TEST_CASE("the response is to throttle, then to move, then to stop") {
  ResponderFixture S;
  REQUIRE(S.report(10, 3).empty());
  auto First = S.report(12, 3);
  REQUIRE(First.size() == 1);
  REQUIRE(First[0].Task == TaskIndex(2));
  REQUIRE(First[0].Do == Step::Throttle);

  // This window began before the throttle and must not be evaluated.
  REQUIRE(S.report(13, 3).empty());
  REQUIRE(S.report(18, 1.6).empty());
  auto Second = S.report(24, 1.6);
  REQUIRE(Second.size() == 1);
  REQUIRE(Second[0].Do == Step::CheckpointAndMove);
  REQUIRE(Second[0].Task == TaskIndex(2));
  auto Third = S.report(45, 1.6);
  REQUIRE(Third.size() == 1);
  REQUIRE(Third[0].Do == Step::Stop);
}

// Guards against evicting a task whose throttling did not help.
TEST_CASE("a suspect whose throttling does not help is released") {
  ResponderFixture S;
  S.report(10, 3);
  REQUIRE(S.report(12, 3).size() == 1);
  std::vector<Response> Steps;
  for (double Now = 17; Now < 60; Now += 2)
    for (const Response &Each : S.report(Now, 3))
      Steps.push_back(Each);

  REQUIRE(Steps[0].Do == Step::Release);
  REQUIRE(Steps[0].Task == TaskIndex(2));
  for (const Response &Each : Steps)
    REQUIRE(Each.Do != Step::CheckpointAndMove);
}

// Guards against a throttle that is kept without need, and against releasing a
// task that the model still expects to slow the victim.
TEST_CASE("a throttle ends after recovery or when the victim leaves") {
  ResponderFixture S;
  S.report(10, 3);
  REQUIRE(S.report(12, 3).size() == 1);
  REQUIRE(S.Responder.onTaskGone(Vm, TaskIndex(0)) ==
          std::vector{TaskIndex(2)});

  ResponderFixture Recovered;
  Recovered.report(10, 3);
  REQUIRE(Recovered.report(12, 3).size() == 1);
  REQUIRE(Recovered.report(18, 1.1).empty());
  REQUIRE(Recovered.report(73, 1.1).empty());
  auto Steps = Recovered.report(3600, 1.1);
  REQUIRE(Steps.size() == 1);
  REQUIRE(Steps[0].Do == Step::Release);
}
