#include "daisyspool/admission/admission.h"
#include "daisyspool/core/Random.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <queue>
#include <string>
#include <vector>

using namespace daisyspool;

namespace {

constexpr std::array<WorkClass, WorkClassCount> Classes{
    WorkClass::Urgent, WorkClass::Session, WorkClass::Standard,
    WorkClass::Batch};

TimePoint at(Duration SinceStart) { return TimePoint(SinceStart); }

AdmissionSettings settings() {
  AdmissionSettings Settings;
  Settings.WaitPart = 1;
  for (ClassPolicy &Policy : Settings.Classes) {
    Policy.InitialService = Millis(10);
    Policy.MaxQueued = 8;
  }
  return Settings;
}

Work work(std::uint64_t Key, WorkClass Class, const char *Team = "blue",
          Duration Remaining = std::chrono::seconds(10)) {
  return {Key, Class, TeamId(Team), Remaining, Occupancy::Slot, false};
}

/// Reference model: the phase of each request, by key.
struct QueueOracle {
  enum class Phase { Queued, Running, Refused, Done };

  std::map<std::uint64_t, Phase> Phases;
  std::vector<Dispatch> Running;
  std::array<std::uint32_t, OccupancyCount> Held{};
  std::array<std::uint32_t, OccupancyCount> Capacity{3, 3};
  std::uint64_t NextKey = 0;

  std::uint32_t &held(Occupancy Holds) {
    return Held[static_cast<std::size_t>(Holds)];
  }

  void start(const Dispatch &Started, TimePoint Now) {
    Phases[Started.Key] = Phase::Running;
    Running.push_back(Started);
    ++held(Started.Holds);
    RC_ASSERT(held(Started.Holds) <=
              Capacity[static_cast<std::size_t>(Started.Holds)]);
    RC_ASSERT(Started.Deadline >= Now);
  }

  std::size_t count(Phase Wanted) const {
    return static_cast<std::size_t>(
        std::count_if(Phases.begin(), Phases.end(),
                      [&](const auto &Item) { return Item.second == Wanted; }));
  }
};

void offerChecked(AdmissionQueue &Queue, QueueOracle &Oracle, TimePoint Now) {
  Work Request = work(Oracle.NextKey++, *rc::gen::elementOf(Classes),
                      *rc::gen::element("blue", "red", "green"),
                      Millis(*rc::gen::inRange(0, 100)));
  Request.Holds = *rc::gen::element(Occupancy::Slot, Occupancy::ConnectionOnly);
  Request.Attempted = *rc::gen::arbitrary<bool>();
  AdmissionDecision Decision = Queue.offer(Request, Now);
  RC_ASSERT(explain(Decision).find("class=") != std::string::npos);

  if (auto *Start = std::get_if<Admitted>(&Decision)) {
    Oracle.start(Start->Start, Now);
  } else if (auto *Refusal = std::get_if<Refused>(&Decision)) {
    Oracle.Phases[Request.Key] = QueueOracle::Phase::Refused;
    RC_ASSERT((Refusal->Executed == Execution::NotRun) == !Request.Attempted);
  } else {
    Oracle.Phases[Request.Key] = QueueOracle::Phase::Queued;
  }
}

void endChecked(AdmissionQueue &Queue, QueueOracle &Oracle, TimePoint Now) {
  if (Oracle.Running.empty())
    return;

  Dispatch Ended = Oracle.Running.back();
  Oracle.Running.pop_back();
  --Oracle.held(Ended.Holds);
  if (*rc::gen::inRange(0, 4) == 0) {
    Oracle.Phases[Ended.Key] = QueueOracle::Phase::Queued;
    Queue.restore(Ended, Now);
    return;
  }
  Oracle.Phases[Ended.Key] = QueueOracle::Phase::Done;
  Queue.onDone(Ended, Millis(30), Millis(*rc::gen::inRange(1, 30)), true);
}

void stepChecked(AdmissionQueue &Queue, QueueOracle &Oracle, TimePoint &Now) {
  switch (*rc::gen::weightedElement<int>(
      {{8, 0}, {4, 1}, {4, 2}, {1, 3}, {2, 4}, {1, 5}})) {
  case 0:
    offerChecked(Queue, Oracle, Now);
    break;
  case 1:
    if (auto Started = Queue.next(Now)) {
      RC_ASSERT(Oracle.Phases[Started->Key] == QueueOracle::Phase::Queued);
      Oracle.start(*Started, Now);
    }
    break;
  case 2:
    endChecked(Queue, Oracle, Now);
    break;
  case 3:
    Queue.dropLate(Now);
    break;
  case 4:
    Now += Millis(*rc::gen::inRange(0, 20));
    break;
  default:
    // This test never sets the capacity below the number of running requests.
    Oracle.Capacity[0] = std::max(Oracle.Held[0], *rc::gen::inRange(0U, 6U));
    Queue.setCapacity(Occupancy::Slot, Oracle.Capacity[0]);
  }

  while (auto Late = Queue.nextRefused()) {
    RC_ASSERT(Oracle.Phases[Late->Key] == QueueOracle::Phase::Queued);
    Oracle.Phases[Late->Key] = QueueOracle::Phase::Refused;
  }
}

/// Runs the requests of a queue on a number of slots, in simulated time.
class SlotSimulator {
public:
  SlotSimulator(AdmissionQueue &Queue, std::uint32_t Slots) : Queue(Queue) {
    Queue.setCapacity(Occupancy::Slot, Slots);
  }

  void offer(const Work &Request) {
    auto Decision = Queue.offer(Request, Now);
    if (auto *Start = std::get_if<Admitted>(&Decision))
      run(Start->Start);
  }

  /// Runs until \p End, calling \p Refill before each scheduling round.
  template <typename RefillFn> void serve(TimePoint End, RefillFn Refill) {
    while (Now < End) {
      Refill();
      while (auto Next = Queue.next(Now))
        run(*Next);
      while (Queue.nextRefused())
        continue;

      Now = Ends.top().first;
      const Dispatch &Ended = Started[Ends.top().second];
      Queue.onDone(Ended, service(Ended.Class), service(Ended.Class), true);
      Ends.pop();
    }
  }

  /// Slot seconds used under \p Key.
  double served(std::uint64_t Key) { return Served[Key]; }

private:
  using End = std::pair<TimePoint, std::size_t>;

  static Duration service(WorkClass Class) {
    return Class == WorkClass::Batch ? Millis(200) : Millis(10);
  }

  void run(const Dispatch &Next) {
    Ends.push({Now + service(Next.Class), Started.size()});
    Started.push_back(Next);
    Served[Next.Key] +=
        std::chrono::duration<double>(service(Next.Class)).count();
  }

  AdmissionQueue &Queue;
  TimePoint Now{};
  std::priority_queue<End, std::vector<End>, std::greater<>> Ends;
  std::vector<Dispatch> Started;
  std::map<std::uint64_t, double> Served;
};

} // namespace

// Guards against a refused request that runs, a request that runs twice or is
// lost, more running requests than the capacity, and an unbounded queue.
TEST_CASE("every request is either run once or refused and never run") {
  REQUIRE(rc::check([] {
    AdmissionQueue Queue(settings());
    Queue.setCapacity(Occupancy::Slot, 3);
    Queue.setCapacity(Occupancy::ConnectionOnly, 3);
    Queue.setQuota(TeamId("red"), {2, 2, 4});
    QueueOracle Oracle;
    TimePoint Now = at(std::chrono::hours(1));

    int Steps = *rc::gen::inRange(0, 400);
    for (int Step = 0; Step < Steps; ++Step) {
      stepChecked(Queue, Oracle, Now);

      std::uint32_t Waiting = 0;
      for (WorkClass Class : Classes)
        Waiting += Queue.queued(Class);
      RC_ASSERT(Waiting == Oracle.count(QueueOracle::Phase::Queued));
      // At most 8 in each class and pool, and 6 + 3 requeued by restore.
      RC_ASSERT(Waiting <= 8 * WorkClassCount * OccupancyCount + 9);
    }
  }));
}

// Guards against a class that is starved by an overload of the others, whatever
// their service times are.
TEST_CASE("with every class overloaded, each gets its guaranteed share") {
  AdmissionQueue Queue(settings());
  SlotSimulator Simulator(Queue, 20);
  Simulator.serve(at(std::chrono::seconds(20)), [&] {
    for (WorkClass Class : Classes)
      while (Queue.queued(Class) < 8)
        Simulator.offer(work(static_cast<std::uint64_t>(Class), Class, "blue",
                             std::chrono::hours(1)));
  });

  double Total = 20 * 20;
  for (WorkClass Class : Classes) {
    auto Index = static_cast<std::size_t>(Class);
    REQUIRE(Simulator.served(Index) >=
            0.95 * settings().Classes[Index].Share * Total);
  }
}

// Guards against one team's overload taking the other teams' share of a class,
// both of its slots and of its bounded queue.
TEST_CASE("an overload by one team leaves the other teams their share") {
  AdmissionQueue Queue(settings());
  SlotSimulator Simulator(Queue, 4);
  Simulator.serve(at(std::chrono::seconds(5)), [&] {
    for (int Count = 0; Count < 50; ++Count)
      Simulator.offer(work(0, WorkClass::Standard, "flooding"));
    for (std::uint64_t Team = 1; Team < 4; ++Team)
      Simulator.offer(work(Team, WorkClass::Standard,
                           ("quiet" + std::to_string(Team)).c_str()));
  });

  for (std::uint64_t Team = 1; Team < 4; ++Team)
    REQUIRE(Simulator.served(Team) >= 0.95 * Simulator.served(0));
}

// Guards against requests that wait in the queue although their reply cannot be
// on time.
TEST_CASE("an infeasible request is refused on arrival and not run") {
  AdmissionQueue Queue(settings());
  Queue.setCapacity(Occupancy::Slot, 1);

  auto TooShort =
      Queue.offer(work(1, WorkClass::Urgent, "blue", Millis(5)), at(Millis(0)));
  REQUIRE(std::get<Refused>(TooShort).Reason == RefusalReason::Late);
  REQUIRE(std::get<Refused>(TooShort).Executed == Execution::NotRun);

  Queue.offer(work(2, WorkClass::Urgent), at(Millis(0)));
  auto Behind = Queue.offer(work(3, WorkClass::Urgent, "blue", Millis(25)),
                            at(Millis(0)));
  REQUIRE(std::holds_alternative<Queued>(Behind));
  auto TooFarBehind = Queue.offer(
      work(4, WorkClass::Urgent, "blue", Millis(26)), at(Millis(0)));
  REQUIRE(std::get<Refused>(TooFarBehind).Reason == RefusalReason::Late);
}

// Guards against a queue so long that every reply comes just before its
// deadline, which makes an unusually slow one late.
TEST_CASE("the estimated wait may use only a fraction of the slack") {
  AdmissionSettings Settings = settings();
  Settings.WaitPart = 0.25;
  AdmissionQueue Queue(Settings);
  Queue.setCapacity(Occupancy::Slot, 1);
  Queue.offer(work(1, WorkClass::Urgent), at(Millis(0)));

  // 10 ms of waiting is a quarter of the slack of 40 ms.
  auto Patient = Queue.offer(work(2, WorkClass::Urgent, "blue", Millis(50)),
                             at(Millis(0)));
  REQUIRE(std::holds_alternative<Queued>(Patient));
  auto Other =
      Queue.offer(work(3, WorkClass::Urgent, "red", Millis(49)), at(Millis(0)));
  REQUIRE(std::get<Refused>(Other).Reason == RefusalReason::Late);
}

// Guards against a slow link that looks like slow service, which made the queue
// reserve more slots and the router wait and spill wrongly.
TEST_CASE("network time does not count as service time") {
  AdmissionSettings Settings = settings();
  Settings.SampleInterval = std::chrono::hours(1);
  AdmissionQueue Queue(Settings);
  Queue.setCapacity(Occupancy::Slot, 1);
  TimePoint Now = at(Millis(0));
  for (std::uint64_t Key = 0; Key < 100; ++Key) {
    auto Start = Queue.offer(work(Key, WorkClass::Urgent), Now);
    Now += Millis(130);
    Queue.onDone(std::get<Admitted>(Start).Start, Millis(130), Millis(10),
                 true);
  }

  REQUIRE(Queue.expectedService(WorkClass::Urgent) == Millis(10));
  auto Late =
      Queue.offer(work(200, WorkClass::Urgent, "blue", Millis(120)), Now);
  REQUIRE(std::get<Refused>(Late).Reason == RefusalReason::Late);
}

// Guards against a class that is refused forever because its last replies were
// slow: refused requests yield no new service times.
TEST_CASE("an estimate that refuses everything is corrected by samples") {
  AdmissionQueue Queue(settings());
  Queue.setCapacity(Occupancy::Slot, 2);
  TimePoint Now = at(Millis(0));
  auto Run = [&](Duration Service) {
    auto Decision =
        Queue.offer(work(1, WorkClass::Urgent, "blue", Millis(200)), Now);
    Now += Millis(1);
    if (auto *Start = std::get_if<Admitted>(&Decision))
      Queue.onDone(Start->Start, Service, Service, true);
    return std::holds_alternative<Admitted>(Decision);
  };
  for (int Count = 0; Count < 200; ++Count)
    Run(Millis(300));
  REQUIRE_FALSE(Run(Millis(300)));

  // One request per 100 ms is admitted as a sample. The weight of the slow
  // replies decays relative to the quick replies of the samples.
  TimePoint AllRefusedAt = Now;
  int Admissions = 0;
  while (Now < AllRefusedAt + std::chrono::seconds(10)) {
    Admissions += Run(Millis(10)) ? 1 : 0;
    Queue.dropLate(Now);
  }
  REQUIRE(Admissions <= 101);
  while (Now < AllRefusedAt + std::chrono::minutes(2)) {
    Run(Millis(10));
    Queue.dropLate(Now);
  }
  REQUIRE(Run(Millis(10)));
  REQUIRE(Run(Millis(10)));
}

// Guards against running requests whose caller has stopped waiting.
TEST_CASE("a queued request that became late is refused and not run") {
  AdmissionQueue Queue(settings());
  Queue.setCapacity(Occupancy::Slot, 1);
  auto First = Queue.offer(work(1, WorkClass::Urgent), at(Millis(0)));
  Queue.offer(work(2, WorkClass::Urgent, "blue", Millis(30)), at(Millis(0)));
  Queue.offer(work(3, WorkClass::Urgent, "blue", Millis(500)), at(Millis(0)));

  Queue.onDone(std::get<Admitted>(First).Start, Millis(25), Millis(25), true);
  REQUIRE(Queue.next(at(Millis(25)))->Key == 3);
  REQUIRE(Queue.nextRefused()->Key == 2);
}

// Guards against long batch requests that take every slot, so that an urgent
// request must wait for one of them to end.
TEST_CASE("slots reserved for the mean urgent demand are not given to batch") {
  AdmissionQueue Queue(settings());
  Queue.setCapacity(Occupancy::Slot, 10);
  TimePoint Now = at(Millis(0));
  for (std::uint64_t Key = 0; Key < 2000; ++Key) {
    Now += Millis(10);
    auto Decision = Queue.offer(work(Key, WorkClass::Urgent), Now);
    Queue.onDone(std::get<Admitted>(Decision).Start, Millis(10), Millis(10),
                 true);
  }

  int Started = 0;
  for (std::uint64_t Key = 0; Key < 20; ++Key)
    if (std::holds_alternative<Admitted>(
            Queue.offer(work(3000 + Key, WorkClass::Batch), Now)))
      ++Started;
  REQUIRE(Started == 8);
  REQUIRE(std::holds_alternative<Admitted>(
      Queue.offer(work(4000, WorkClass::Urgent), Now)));

  Queue.dropLate(Now + std::chrono::minutes(5));
  REQUIRE(Queue.unusedReservationAbove(WorkClass::Batch) == 0);
}

// Guards against a limit that ignores a slowdown or never recovers.
TEST_CASE("the concurrency limit falls with latency and recovers") {
  ConcurrencyLimit Limit(8);
  for (int Count = 0; Count < 500; ++Count)
    Limit.onSample(1.0, 8);
  REQUIRE(Limit.limit() == 8);

  for (int Count = 0; Count < 200; ++Count)
    Limit.onSample(4.0, Limit.limit());
  REQUIRE(Limit.limit() <= 4);
  REQUIRE(Limit.limit() >= 1);

  for (int Count = 0; Count < 500; ++Count)
    Limit.onSample(1.0, Limit.limit());
  REQUIRE(Limit.limit() == 8);
}
