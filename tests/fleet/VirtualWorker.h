// An in-memory worker: tasks under a lease on its own slow clock, numbered
// ends, fencing tokens, and the faults that workers have. It reports its runs
// to the oracle.
#ifndef DAISYSPOOL_TESTS_FLEET_VIRTUALWORKER_H
#define DAISYSPOOL_TESTS_FLEET_VIRTUALWORKER_H

#include "daisyspool/runner/AgentSession.h"
#include "fleet/Oracle.h"
#include "fleet/VirtualStore.h"

namespace daisyspool::testing {

/// How long a task runs and whether it always fails.
struct TaskBehaviour {
  Millis Work{500};
  bool Fails = false;
};

class VirtualWorker {
public:
  VirtualWorker(VirtualLoop &Loop, Oracle &Invariants, std::string Name,
                Resources Capacity)
      : Loop(Loop), Invariants(Invariants), Name(std::move(Name)),
        Capacity(Capacity) {
    startLife();
  }

  /// Faults, set by the test.
  bool Down = false;
  /// While set, runs show no progress and new runs do not end.
  bool Hangs = false;
  /// New runs fail after 20 ms.
  bool FailsAll = false;
  /// Starts are turned away without an effect.
  bool Busy = false;
  bool Draining = false;
  /// Share of orders without an answer; the worker carries them out seconds
  /// later.
  double UnansweredShare = 0;
  /// Share of calls that the worker carries out at once without an answer.
  double LostAnswerShare = 0;
  /// Limit for the ends in one listing; by default that of the platform.
  std::size_t MaxListedEnds = 500;
  /// A rebooted worker has the id of its earlier life.
  bool KeepsId = false;
  FailureDomainId Domain{"a"};
  /// Error of the clock from which a new life takes its number.
  std::chrono::milliseconds ClockError{0};

  runner::WorkerLife life() const { return CurrentLife; }
  bool up() const { return !Down; }

  /// Ends this life; all its runs are lost.
  void crash() {
    Down = true;
    ++LifeNumber;
    for (const auto &[Task, Run] : Running)
      Invariants.lost(Name, Task);
    Running.clear();
    Ended.clear();
  }

  void reboot() {
    Down = false;
    startLife();
  }

  runner::WorkerAnnouncement announcement() {
    runner::WorkerAnnouncement Result;
    Result.Worker = {CurrentLife, id(),        ServiceId("service"),
                     Domain,      Capacity,    {"a", "r1-1"},
                     Draining,    Millis(4500)};
    Result.Sequence = SequenceNumber(++AnnouncementCount);
    return Result;
  }

  TargetId id() const {
    return TargetId(Name +
                    (KeepsId ? "" : std::to_string(CurrentLife.value())));
  }

  runner::StartOutcome start(runner::FencingToken Token,
                             const TargetId &ExpectedId,
                             const runner::WorkerStart &Start) {
    if (!ExpectedId.empty() && ExpectedId != id())
      return runner::OtherLife{};
    if (Token < HighestToken)
      return runner::FencedOut{};
    if (Busy)
      return runner::WorkerBusy{};
    HighestToken = Token;
    extend(Start.LeaseEnd);
    auto Existing = Running.find(Start.Name.Task);
    if (Existing != Running.end() && Existing->second.Run == Start.Name.Run)
      return runner::Started{};
    if (Start.Name.Run <= ClosedUpTo[Start.Name.Task])
      return runner::StartRefused{runner::RefusalReason::Old};
    if (Start.LeaseEnd <= clock())
      return runner::StartRefused{runner::RefusalReason::Late};
    startRun(Start);
    return runner::Started{};
  }

  runner::OrderOutcome stop(runner::FencingToken Token,
                            const TargetId &ExpectedId,
                            const runner::RunName &Name) {
    if (!ExpectedId.empty() && ExpectedId != id())
      return runner::OtherLife{};
    if (Token < HighestToken)
      return runner::FencedOut{};
    HighestToken = Token;
    auto Existing = Running.find(Name.Task);
    if (Existing != Running.end() && Existing->second.Run <= Name.Run)
      end(Name.Task, runner::EndCause::Stopped);
    ClosedUpTo[Name.Task] = std::max(ClosedUpTo[Name.Task], Name.Run);
    return runner::Done{};
  }

  runner::HoldOutcome hold(runner::FencingToken Token,
                           const TargetId &ExpectedId,
                           const runner::HoldRequest &Request) {
    if (!ExpectedId.empty() && ExpectedId != id())
      return runner::OtherLife{};
    expire();
    if (Token < HighestToken)
      return runner::FencedOut{};
    HighestToken = Token;
    if (Request.LeaseEnd)
      extend(*Request.LeaseEnd);
    std::erase_if(Ended, [&](const runner::EndedTask &End) {
      bool IsRecorded = End.Number <= Request.EndsRecorded;
      if (IsRecorded)
        Invariants.endRecorded(End, LapsedUpTo);
      return IsRecorded;
    });
    runner::WorkerListing Result;
    Result.Clock = clock();
    Result.Life = CurrentLife;
    for (const auto &[Task, Run] : Running)
      Result.Running.push_back({{Task, Run.Run}, "", percent(Run), 100});
    Result.Ended = Ended;
    Result.EndsTruncated = Ended.size() >= MaxListedEnds;
    if (Result.EndsTruncated)
      Result.Ended.resize(MaxListedEnds);
    return Result;
  }

  /// Runs 2% slow, as the platform allows.
  runner::WorkerClock clock() const {
    auto Elapsed = std::chrono::duration_cast<Millis>(Loop.now() - ClockStart);
    return runner::WorkerClock(Elapsed.count() * 98 / 100 + 1000);
  }

  bool losesAnswer() {
    return LostAnswerShare > 0 && std::uniform_real_distribution<double>(0, 1)(
                                      Random) < LostAnswerShare;
  }

  bool idle() const { return Running.empty(); }

  /// The number of runs that started at \p Since or later.
  std::size_t startsSince(TimePoint Since) const {
    return static_cast<std::size_t>(
        std::count_if(StartTimes.begin(), StartTimes.end(),
                      [Since](TimePoint At) { return At >= Since; }));
  }

  std::size_t endCount() const { return Ended.size() + LastEnd; }

private:
  struct RunState {
    runner::RunNumber Run;
    TimePoint StartedAt;
    Millis Work;
    Resources Held;
  };

  void startLife() {
    CurrentLife = runner::WorkerLife(
        static_cast<std::uint64_t>((Loop.wallNow() + ClockError).count()));
    ClockStart = Loop.now();
    LastEnd = 0;
    AnnouncementCount = 0;
    HighestToken = {};
    LeaseEnd = {};
    LapsedUpTo = {};
    ClosedUpTo.clear();
  }

  void extend(runner::WorkerClock End) {
    constexpr runner::WorkerClock MaxHold{6000};
    LeaseEnd = std::max(LeaseEnd, std::min(End, clock() + MaxHold));
    auto UntilEnd = Millis((LeaseEnd - clock()).count() * 100 / 98 + 1);
    Loop.after(UntilEnd, [this, OrderedIn = LifeNumber] {
      if (OrderedIn == LifeNumber)
        expire();
    });
  }

  void expire() {
    if (clock() < LeaseEnd)
      return;
    // The lease belongs to the worker, so it also lapses while nothing runs.
    LapsedUpTo = runner::EndNumber(LastEnd);
    std::vector<runner::TaskName> Tasks;
    for (const auto &[Task, Run] : Running)
      Tasks.push_back(Task);
    for (const auto &Task : Tasks)
      end(Task, runner::EndCause::Lapsed);
    LapsedUpTo = runner::EndNumber(LastEnd);
  }

  void startRun(const runner::WorkerStart &Start) {
    TaskBehaviour Behaviour = Invariants.behaviour(Start.Name.Task.Job);
    RunState Run{Start.Name.Run, Loop.now(), Behaviour.Work,
                 Invariants.reservedResources(Start.Name.Task)};
    Running[Start.Name.Task] = Run;
    StartTimes.push_back(Loop.now());
    Invariants.started(Name, Start.Name, Capacity);
    if (Hangs)
      return;
    bool Fails = FailsAll || Behaviour.Fails;
    Loop.after(FailsAll ? Millis(20) : Behaviour.Work,
               [this, StartedIn = LifeNumber, Done = Start.Name, Fails] {
                 auto Found = Running.find(Done.Task);
                 if (StartedIn != LifeNumber || Found == Running.end() ||
                     Found->second.Run != Done.Run ||
                     Invariants.isLongRunning(Done.Task))
                   return;
                 end(Done.Task,
                     Fails ? runner::EndCause::Failed : runner::EndCause::Done);
               });
  }

  void end(const runner::TaskName &Task, runner::EndCause Cause) {
    RunState Run = Running.at(Task);
    Running.erase(Task);
    ClosedUpTo[Task] = std::max(ClosedUpTo[Task], Run.Run);
    Ended.push_back({runner::EndNumber(++LastEnd), {Task, Run.Run}, Cause, ""});
    Invariants.ended(Name, {Task, Run.Run}, Cause);
  }

  std::uint32_t percent(const RunState &Run) const {
    auto Elapsed =
        std::chrono::duration_cast<Millis>(Loop.now() - Run.StartedAt);
    if (Hangs)
      return 0;
    return static_cast<std::uint32_t>(
        std::min<std::int64_t>(99, Elapsed.count() * 100 / Run.Work.count()));
  }

  VirtualLoop &Loop;
  Oracle &Invariants;
  std::string Name;
  Resources Capacity;
  runner::WorkerLife CurrentLife;
  std::mt19937_64 Random{1};
  std::uint64_t LifeNumber = 0;
  TimePoint ClockStart{};
  std::uint64_t LastEnd = 0;
  std::uint64_t AnnouncementCount = 0;
  runner::FencingToken HighestToken;
  runner::WorkerClock LeaseEnd{0};
  runner::EndNumber LapsedUpTo;
  std::map<runner::TaskName, RunState> Running;
  std::vector<runner::EndedTask> Ended;
  std::vector<TimePoint> StartTimes;
  /// By task, the newest run that has ended or must not start any more.
  std::map<runner::TaskName, runner::RunNumber> ClosedUpTo;
};

} // namespace daisyspool::testing

#endif // DAISYSPOOL_TESTS_FLEET_VIRTUALWORKER_H
