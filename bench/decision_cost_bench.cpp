// Measures time, memory and allocations of single decisions of routing and
// admission at several fleet sizes, in real time on one thread.
#include "daisyspool/admission/admission.h"
#include "daisyspool/core/core.h"
#include "daisyspool/routing/routing.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <malloc.h>
#include <new>
#include <string>
#include <vector>

namespace {

// Counted by the replaced operator new below; the benchmark has one thread.
std::size_t LiveBytes = 0;
std::size_t Allocations = 0;

} // namespace

void *operator new(std::size_t Size) {
  void *Memory = std::malloc(Size);
  if (!Memory)
    throw std::bad_alloc();
  LiveBytes += malloc_usable_size(Memory);
  ++Allocations;
  return Memory;
}

void operator delete(void *Memory) noexcept {
  LiveBytes -= Memory ? malloc_usable_size(Memory) : 0;
  std::free(Memory);
}

void operator delete(void *Memory, std::size_t) noexcept {
  operator delete(Memory);
}

using namespace daisyspool;

namespace {

constexpr std::array<std::uint32_t, 5> TargetCounts{11, 100, 1000, 4000, 16000};
constexpr int Teams = 74;
constexpr int FailureDomains = 11;
constexpr int Decisions = 400000;

void printMetric(const char *Variant, std::uint32_t Count, const char *Metric,
                 double Value) {
  std::printf("bench=decision-cost variant=%s-%u metric=%s value=%.4g\n",
              Variant, Count, Metric, Value);
}

template <typename StepFn>
void measure(const char *Variant, std::uint32_t Count, StepFn Step) {
  for (int WarmUp = 0; WarmUp < Decisions / 4; ++WarmUp)
    Step();

  std::size_t Before = Allocations;
  auto Start = std::chrono::steady_clock::now();
  for (int Done = 0; Done < Decisions; ++Done)
    Step();
  auto Took = std::chrono::steady_clock::now() - Start;
  printMetric(Variant, Count, "ns_per_decision",
              std::chrono::duration<double, std::nano>(Took).count() /
                  Decisions);
  printMetric(Variant, Count, "allocations_per_decision",
              double(Allocations - Before) / Decisions);
}

/// Measures choose, onSent and onReply of one attempt, with \p Utilization of
/// the slots in use.
void measureRouting(std::uint32_t Count, double Utilization,
                    const char *Variant) {
  std::size_t Before = LiveBytes;
  RetryBudget Budget;
  RouterSettings Settings;
  Settings.Home = FailureDomainId("fd-0");
  Router Routes(Settings, Budget, 3);
  TimePoint Now = TimePoint(std::chrono::hours(1));
  for (std::uint32_t Index = 0; Index < Count; ++Index)
    Routes.addTarget(
        {TargetId("worker-" + std::to_string(Index) + ".castmatch"),
         FailureDomainId("fd-" + std::to_string(Index % FailureDomains)), 8,
         64},
        Now, true);
  printMetric(Variant, Count, "bytes_per_target",
              double(LiveBytes - Before) / Count);

  RouteRequest Request;
  Request.Idempotent = true;
  Request.Remaining = std::chrono::seconds(1);
  Request.ExpectedService = Millis(12);
  Request.Waiting = 1000000;
  std::deque<AttemptTicket> InFlight;
  while (Routes.utilization() < Utilization) {
    auto Id = Routes.choose(Request, Now);
    if (!Id)
      break;
    InFlight.push_back(Routes.onSent(*Id, Request, Now));
  }

  // Each attempt takes 12 ms, of which 8 ms at the target.
  const LoadReport Load{4, 0, 4, 4, 4, Millis(8)};
  measure(Variant, Count, [&] {
    Now += Duration(Millis(12)) / InFlight.size();
    Routes.onReply(InFlight.front(), Load, Now);
    InFlight.pop_front();
    // At the limit a reply may free less room than the next attempt needs.
    while (true) {
      auto Id = Routes.choose(Request, Now);
      if (Id) {
        InFlight.push_back(Routes.onSent(*Id, Request, Now));
        break;
      }
      Routes.onReply(InFlight.front(), Load, Now);
      InFlight.pop_front();
    }
  });
}

/// Measures offer, next and onDone of one request while the queues of all teams
/// are full.
void measureAdmission(std::uint32_t Count) {
  std::size_t Before = LiveBytes;
  AdmissionQueue Queue{AdmissionSettings{}};
  Queue.setCapacity(Occupancy::Slot, Count * 8);
  TimePoint Now = TimePoint(std::chrono::hours(1));
  std::vector<TeamId> Names;
  Names.reserve(Teams);
  for (int Team = 0; Team < Teams; ++Team)
    Names.emplace_back("team" + std::to_string(Team));

  Random Generator(5);
  std::uint64_t Key = 0;
  std::deque<Dispatch> Running;
  auto Offer = [&] {
    Work Request{++Key,
                 static_cast<WorkClass>(Generator.below(WorkClassCount)),
                 Names[Generator.below(Teams)],
                 std::chrono::hours(100),
                 Occupancy::Slot,
                 false};
    auto Decision = Queue.offer(Request, Now);
    if (auto *Start = std::get_if<Admitted>(&Decision))
      Running.push_back(Start->Start);
    while (Queue.nextRefused())
      continue;
  };
  for (std::uint32_t Fill = 0; Fill < Count * 8 + 4000; ++Fill)
    Offer();
  printMetric("admission", Count, "bytes_queue", double(LiveBytes - Before));

  measure("admission", Count, [&] {
    Now += std::chrono::microseconds(100);
    Offer();
    Queue.onDone(Running.front(), Millis(12), Millis(8), true);
    Running.pop_front();
    while (auto Next = Queue.next(Now))
      Running.push_back(*Next);
  });
}

} // namespace

int main() {
  for (std::uint32_t Count : TargetCounts) {
    measureRouting(Count, 0.5, "routing-half-full");
    measureRouting(Count, 1.0, "routing-full");
    measureAdmission(Count);
  }
  return 0;
}
