#include "runner/AgentFixture.h"

#include <catch2/catch.hpp>

#include <array>
#include <cmath>

using namespace daisyspool;
using namespace daisyspool::runner;

namespace {

constexpr Millis TailTarget{100};

/// A service and filling tasks on one worker. The tail of a service follows the
/// paces of the filling tasks that disturb it.
struct SharedVm : testing::AgentFixture {
  RunName Filling{{JobId("batch"), 0, 0, 0}, RunNumber(1)};
  RunName OtherFilling{{JobId("batch"), 0, 0, 1}, RunNumber(1)};
  RunName Service{{JobId("service"), 0, 0, 0}, RunNumber(1)};

  SharedVm() {
    follow(Millis(500));
    auto Fills = orderFor(Filling, "fill");
    Fills.FillsIdleCpu = true;
    auto Harmless = orderFor(OtherFilling, "other");
    Harmless.FillsIdleCpu = true;
    Harmless.HarmlessTo = {workload::ImageId("serving")};
    auto Serves = orderFor(Service, "serving");
    Serves.TailTarget = TailTarget;
    sync({Fills, Harmless, Serves}, {});
    reportTail(0.5);
    follow(Millis(500));
  }

  StartOrder orderFor(const RunName &Name, const char *Image) const {
    StartOrder Result = order();
    Result.Name = Name;
    Result.Image = workload::ImageId(Image);
    return Result;
  }

  std::uint32_t paceOf(const RunName &Name) const {
    auto Found = Worker.Paces.find(Name);
    return Found == Worker.Paces.end() ? 100 : Found->second;
  }

  void reportTail(double Ratio) {
    Worker.Listing.Running = {
        {Filling, "", 10, 1000},
        {OtherFilling, "", 10, 1000},
        {Service, "", 100,
         static_cast<std::int64_t>(Ratio *
                                   static_cast<double>(TailTarget.count()))}};
  }
};

} // namespace

// Load pattern: a filling task that raises a service's tail above its target at
// full pace, and not at a third, while the service's own load swings. Guards
// against returning to full pace as soon as the tail is low, which it is
// because of the pace: the service was above its target in a third of the
// reports.
TEST_CASE("the pace of a filling task settles below the target of a service") {
  SharedVm Vm;
  constexpr double BaseRatio = 0.55;
  constexpr double Effect = 1.0;
  // Tails of one service over 4 s, relative to their mean.
  constexpr std::array<double, 8> Swing{1.0, 0.9, 0.85, 0.9,
                                        1.0, 1.1, 1.15, 1.1};
  constexpr int Reports = 100;
  constexpr Millis ReportInterval{500};
  int AboveTarget = 0;
  double PaceSum = 0;
  for (int I = 0; I < Reports; ++I) {
    double Ratio = BaseRatio * Swing[I % Swing.size()] *
                   std::exp(Effect * Vm.paceOf(Vm.Filling) / 100);
    AboveTarget += Ratio > 1 ? 1 : 0;
    PaceSum += Vm.paceOf(Vm.Filling);
    Vm.reportTail(Ratio);
    Vm.follow(ReportInterval);
  }
  INFO("above target: " << AboveTarget << ", mean pace: " << PaceSum / Reports);
  REQUIRE(AboveTarget <= Reports / 10);
  REQUIRE(PaceSum / Reports >= 25);
}

// Guards against slowing down the tasks that do not disturb the service.
TEST_CASE("a task that is harmless to a strained service keeps its pace") {
  SharedVm Vm;
  Vm.reportTail(1.2);
  Vm.follow(Millis(1200));
  REQUIRE(Vm.paceOf(Vm.Filling) < 100);
  REQUIRE(Vm.paceOf(Vm.OtherFilling) == 100);
  // After that long the classification is no longer relied on.
  Vm.follow(Millis(3000));
  REQUIRE(Vm.paceOf(Vm.Filling) == 0);
  REQUIRE(Vm.paceOf(Vm.OtherFilling) == 0);
}

// Guards against a filling task that stays slow after its service has left.
TEST_CASE("a filling task runs at full pace once no service is beside it") {
  SharedVm Vm;
  Vm.reportTail(1.2);
  Vm.follow(Millis(1000));
  REQUIRE(Vm.paceOf(Vm.Filling) < 100);
  Vm.Worker.Listing.Running.pop_back();
  Vm.follow(Millis(300));
  REQUIRE(Vm.paceOf(Vm.Filling) == 100);
}
