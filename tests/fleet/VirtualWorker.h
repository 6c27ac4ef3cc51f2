// A worker in memory: tasks under a lease on its own slow clock, numbered ends,
// fencing tokens, and the faults that workers have. The oracle watches it.
#ifndef DAISYSPOOL_TESTS_FLEET_VIRTUALWORKER_H
#define DAISYSPOOL_TESTS_FLEET_VIRTUALWORKER_H

#include "daisyspool/runner/AgentSession.h"
#include "fleet/Oracle.h"
#include "fleet/VirtualStore.h"

namespace daisyspool::testing {

/// Options of one task's behaviour, by the text of its spec: its work in ms,
/// and "fail" if it always fails.
struct TaskBehaviour {
  Millis Work{500};
  bool Fails = false;
};

class VirtualWorker {
public:
  VirtualWorker(VirtualLoop &Loop, Oracle &Watch, std::string Name,
                Resources Capacity)
      : Loop(Loop), Watch(Watch), Name(std::move(Name)), Capacity(Capacity) {
    begin();
  }

  /// Faults, for the test to set.
  bool Dark = false;
  bool Hangs = false;
  bool FailsAll = false;
  bool Draining = false;
  double UnansweredShare = 0;
  /// Share of calls that are carried out at once and have no answer.
  double LostAnswerShare = 0;
  bool KeepsId = false;

  runner::WorkerLife life() const { return Born; }
  bool up() const { return !Dark; }

  /// Ends this life; everything on it is gone.
  void crash() {
    Dark = true;
    ++LifeNumber;
    for (const auto &[Task, Run] : Running)
      Watch.gone(Name, Task);
    Running.clear();
    Ended.clear();
  }

  void reboot() {
    Dark = false;
    begin();
  }

  runner::WorkerAnnouncement announcement() {
    runner::WorkerAnnouncement What;
    What.Worker = {Born,
                   id(),
                   ServiceId("service"),
                   FailureDomainId("a"),
                   Capacity,
                   {"a", "r1-1"},
                   Draining,
                   Millis(4500)};
    What.Sequence = SequenceNumber(++Beats);
    What.Clock = clock();
    return What;
  }

  TargetId id() const {
    return TargetId(Name + (KeepsId ? "" : std::to_string(Born.value())));
  }

  runner::StartOutcome start(runner::FencingToken Token, const TargetId &For,
                             const runner::WorkerStart &What) {
    if (!For.empty() && For != id())
      return runner::OtherLife{};
    if (Token < Highest)
      return runner::FencedOut{};
    Highest = Token;
    extend(What.LeaseEnd);
    auto Present = Running.find(What.Name.Task);
    if (Present != Running.end() && Present->second.Run == What.Name.Run)
      return runner::Started{};
    if (What.Name.Run <= Closed[What.Name.Task])
      return runner::StartRefused{runner::RefusalReason::Old};
    if (What.LeaseEnd <= clock())
      return runner::StartRefused{runner::RefusalReason::Late};
    begin(What);
    return runner::Started{};
  }

  runner::OrderOutcome stop(runner::FencingToken Token, const TargetId &For,
                            const runner::RunName &What) {
    if (!For.empty() && For != id())
      return runner::OtherLife{};
    if (Token < Highest)
      return runner::FencedOut{};
    Highest = Token;
    auto Present = Running.find(What.Task);
    if (Present != Running.end() && Present->second.Run <= What.Run)
      end(What.Task, runner::EndCause::Stopped);
    Closed[What.Task] = std::max(Closed[What.Task], What.Run);
    return runner::Done{};
  }

  runner::HoldOutcome hold(runner::FencingToken Token,
                           const runner::HoldRequest &What) {
    expire();
    if (Token < Highest)
      return runner::FencedOut{};
    Highest = Token;
    if (What.LeaseEnd)
      extend(*What.LeaseEnd);
    std::erase_if(Ended, [&](const runner::EndedTask &End) {
      bool Noted = End.Number <= What.EndsRecorded;
      if (Noted)
        Watch.noted(End, LapsedUpTo);
      return Noted;
    });
    runner::WorkerListing Result;
    Result.Clock = clock();
    Result.Life = Born;
    for (const auto &[Task, Run] : Running)
      Result.Running.push_back({{Task, Run.Run}, "", percent(Run), 100});
    Result.Ended = Ended;
    return Result;
  }

  /// Two in a hundred slow, as the platform allows.
  runner::WorkerClock clock() const {
    auto Real = std::chrono::duration_cast<Millis>(Loop.now() - ClockStart);
    return runner::WorkerClock(Real.count() * 98 / 100 + 1000);
  }

  bool losesAnswer() {
    return LostAnswerShare > 0 && std::uniform_real_distribution<double>(0, 1)(
                                      Chance) < LostAnswerShare;
  }

  std::size_t endCount() const { return Ended.size() + LastEnd; }

private:
  struct RunState {
    runner::RunNumber Run;
    TimePoint Begun;
    Millis Work;
    Resources Held;
  };

  void begin() {
    Born =
        runner::WorkerLife(static_cast<std::uint64_t>(Loop.wallNow().count()));
    ClockStart = Loop.now();
    LastEnd = 0;
    Beats = 0;
    Highest = {};
    LeaseEnd = {};
    LapsedUpTo = {};
    Closed.clear();
  }

  void extend(runner::WorkerClock End) {
    constexpr runner::WorkerClock MaxHold{6000};
    LeaseEnd = std::max(LeaseEnd, std::min(End, clock() + MaxHold));
    auto Left = Millis((LeaseEnd - clock()).count() * 100 / 98 + 1);
    Loop.after(Left, [this, Of = LifeNumber] {
      if (Of == LifeNumber)
        expire();
    });
  }

  void expire() {
    if (clock() < LeaseEnd)
      return;
    // The lease is the worker's, so it lapses also when nothing runs.
    LapsedUpTo = runner::EndNumber(LastEnd);
    std::vector<runner::TaskName> Tasks;
    for (const auto &[Task, Run] : Running)
      Tasks.push_back(Task);
    for (const auto &Task : Tasks)
      end(Task, runner::EndCause::Lapsed);
    LapsedUpTo = runner::EndNumber(LastEnd);
  }

  void begin(const runner::WorkerStart &What) {
    TaskBehaviour Behaviour = Watch.behaviour(What.Name.Task.Job);
    RunState Run{What.Name.Run, Loop.now(), Behaviour.Work,
                 Watch.held(What.Name.Task)};
    Running[What.Name.Task] = Run;
    Watch.started(Name, What.Name, Capacity);
    if (Hangs)
      return;
    bool Fails = FailsAll || Behaviour.Fails;
    Loop.after(FailsAll ? Millis(20) : Behaviour.Work,
               [this, Of = LifeNumber, Done = What.Name, Fails] {
                 auto Found = Running.find(Done.Task);
                 if (Of != LifeNumber || Found == Running.end() ||
                     Found->second.Run != Done.Run || Watch.lasts(Done.Task))
                   return;
                 end(Done.Task,
                     Fails ? runner::EndCause::Failed : runner::EndCause::Done);
               });
  }

  void end(const runner::TaskName &Task, runner::EndCause Cause) {
    RunState Run = Running.at(Task);
    Running.erase(Task);
    Closed[Task] = std::max(Closed[Task], Run.Run);
    Ended.push_back({runner::EndNumber(++LastEnd), {Task, Run.Run}, Cause, ""});
    Watch.ended(Name, {Task, Run.Run}, Cause);
  }

  std::uint32_t percent(const RunState &Run) const {
    auto Spent = std::chrono::duration_cast<Millis>(Loop.now() - Run.Begun);
    if (Hangs)
      return 0;
    return static_cast<std::uint32_t>(
        std::min<std::int64_t>(99, Spent.count() * 100 / Run.Work.count()));
  }

  VirtualLoop &Loop;
  Oracle &Watch;
  std::string Name;
  Resources Capacity;
  runner::WorkerLife Born;
  std::mt19937_64 Chance{1};
  std::uint64_t LifeNumber = 0;
  TimePoint ClockStart{};
  std::uint64_t LastEnd = 0;
  std::uint64_t Beats = 0;
  runner::FencingToken Highest;
  runner::WorkerClock LeaseEnd{0};
  runner::EndNumber LapsedUpTo;
  std::map<runner::TaskName, RunState> Running;
  std::vector<runner::EndedTask> Ended;
  std::map<runner::TaskName, runner::RunNumber> Closed;
};

} // namespace daisyspool::testing

#endif // DAISYSPOOL_TESTS_FLEET_VIRTUALWORKER_H
