#ifndef DAISYSPOOL_BENCH_REQUESTFLEET_H
#define DAISYSPOOL_BENCH_REQUESTFLEET_H

#include "daisyspool/admission/admission.h"
#include "daisyspool/core/core.h"
#include "daisyspool/routing/routing.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace daisyspool::bench {

constexpr Duration Second = std::chrono::seconds(1);

/// The load that one class of requests puts on a deployment.
struct ClassLoad {
  WorkClass Class = WorkClass::Urgent;
  /// Share of all slots that the class uses under steady load; for sessions,
  /// the share of all connections.
  double Utilization = 0;
  Duration MeanService{};
  Duration Deadline{};
  bool Idempotent = true;
  int Teams = 1;
};

/// A deployment as described in section 1.1 of the design page.
struct Deployment {
  std::string Name;
  std::vector<std::string> Domains;
  Duration OneWay{};
  std::uint32_t Targets = 11;
  std::uint32_t Slots = 8;
  std::uint32_t Connections = 64;
  /// ReserveDeviations of the urgent class. A lower value gives other work
  /// more slots and makes urgent requests wait more often.
  double ReserveDeviations = 0.7;
  std::vector<ClassLoad> Classes;

  double slots() const { return double(Targets) * Slots; }
};

/// A period in which a target is slower by a factor, as next to a noisy task.
struct Slowdown {
  std::uint32_t Target = 0;
  Duration From{};
  Duration Until{};
  double Factor = 1;
};

enum class AttemptOutcome {
  Done,
  Error,
  Full,
  LinkSilent,
  NotSent,
  LateAtTarget
};

struct Reply {
  AttemptOutcome Result = AttemptOutcome::Done;
  LoadReport Load;
  /// Time that the request held a slot.
  Duration Ran{};
};

/// A request on its way to, at, or back from a target.
struct FleetAttempt {
  std::uint32_t Target = 0;
  Occupancy Holds = Occupancy::Slot;
  Duration Size{};
  /// The target does not start the request after this; none for a baseline.
  TimePoint Deadline = TimePoint::max();
  std::function<void(const Reply &)> OnReply;
  TimePoint ArrivedAt{};
  TimePoint StartedAt{};
  bool Running = false;
  bool Settled = false;
};

/// A simulated fleet under virtual time: targets with slots, connections and a
/// first-in first-out queue, service times that grow with load and with noisy
/// neighbours, and delayed load reports.
///
/// Thread safety: one thread at a time.
class RequestFleet {
public:
  using AttemptPtr = std::shared_ptr<FleetAttempt>;

  RequestFleet(Deployment Setup, std::uint64_t Seed)
      : Setup(std::move(Setup)), Generator(Seed),
        OneWayDelays(this->Setup.Domains.size()), Targets(this->Setup.Targets) {
    for (std::size_t Index = 0; Index < OneWayDelays.size(); ++Index)
      OneWayDelays[Index] = Index == 0 ? HomeOneWay : this->Setup.OneWay;
  }
  RequestFleet(const RequestFleet &) = delete;
  RequestFleet &operator=(const RequestFleet &) = delete;

  const Deployment &setup() const { return Setup; }
  TimePoint now() const { return Now; }
  Random &random() { return Generator; }

  void after(Duration Delay, std::function<void()> Run) {
    Events.push({Now + Delay, NextEvent++, std::move(Run)});
  }

  void run(TimePoint Until) {
    while (!Events.empty() && Events.top().At <= Until) {
      // top() is const; the event is removed before its content is used.
      auto Next = std::move(const_cast<Event &>(Events.top()));
      Events.pop();
      Now = Next.At;
      Next.Run();
    }
    Now = Until;
  }

  std::uint32_t domainOf(std::uint32_t Target) const {
    return Target % static_cast<std::uint32_t>(OneWayDelays.size());
  }
  TargetInfo info(std::uint32_t Target) const {
    return {TargetId("worker" + std::to_string(Target)),
            FailureDomainId(Setup.Domains[domainOf(Target)]), Setup.Slots,
            Setup.Connections};
  }

  void addSlowdown(Slowdown Added) { Slowdowns.push_back(Added); }
  void setOneWay(std::uint32_t Domain, Duration OneWay) {
    OneWayDelays[Domain] = OneWay;
  }
  /// While \p Failing, the target answers each request after FailureTime with
  /// an error.
  void setFailing(std::uint32_t Target, bool Failing) {
    Targets[Target].Failing = Failing;
  }
  /// Stops the target without any reply, or brings it back without requests.
  void setDown(std::uint32_t Target, bool Down) {
    TargetState &State = Targets[Target];
    State.Down = Down;
    State.DownSince = Now;
    State.LostAttempts.insert(State.LostAttempts.end(), State.Waiting.begin(),
                              State.Waiting.end());
    State.LostAttempts.insert(State.LostAttempts.end(), State.Active.begin(),
                              State.Active.end());
    State.Waiting.clear();
    State.Active.clear();
    State.BusySlots = 0;
    State.OpenConnections = 0;
    if (Down)
      after(SilenceDetection, [this, Target] { reportLostAttempts(Target); });
  }

  AttemptPtr send(FleetAttempt Attempt) {
    auto Sent = std::make_shared<FleetAttempt>(std::move(Attempt));
    after(oneWay(Sent->Target), [this, Sent] { arrive(Sent); });
    return Sent;
  }

  /// Stops the attempt; \p OnConfirmed runs when the target has confirmed it.
  void cancel(const AttemptPtr &Attempt, std::function<void()> OnConfirmed) {
    after(oneWay(Attempt->Target), [this, Attempt] {
      if (!Attempt->Settled)
        removeAttempt(Attempt);
    });
    after(2 * oneWay(Attempt->Target), std::move(OnConfirmed));
  }

private:
  static constexpr Duration HomeOneWay = std::chrono::microseconds(150);
  static constexpr Duration SilenceDetection = Millis(1500);
  static constexpr Duration ReportLag = Millis(100);
  static constexpr Duration FailureTime = Millis(1);
  // Rare slow attempts, as caused by garbage collection or page faults.
  static constexpr double PauseChance = 0.002;
  static constexpr double PauseFactor = 4;

  struct Event {
    TimePoint At;
    std::uint64_t Sequence;
    std::function<void()> Run;

    bool operator<(const Event &Other) const {
      return std::pair(At, Sequence) > std::pair(Other.At, Other.Sequence);
    }
  };

  struct TargetState {
    std::deque<AttemptPtr> Waiting;
    std::vector<AttemptPtr> Active;
    std::vector<AttemptPtr> LostAttempts;
    std::uint32_t BusySlots = 0;
    std::uint32_t OpenConnections = 0;
    bool Failing = false;
    bool Down = false;
    TimePoint DownSince{};
    LoadReport Reported;
    TimePoint ReportedAt{};
  };

  Duration oneWay(std::uint32_t Target) const {
    return OneWayDelays[domainOf(Target)];
  }

  double slowdown(std::uint32_t Target) const {
    double Factor = 1;
    for (const Slowdown &Each : Slowdowns)
      if (Each.Target == Target && Now >= TimePoint(Each.From) &&
          Now < TimePoint(Each.Until))
        Factor *= Each.Factor;
    double Load = double(Targets[Target].BusySlots) / Setup.Slots;
    return Factor * (Load <= 0.5 ? 1.0 : Load <= 0.8 ? 1.05 : 1.1);
  }

  void arrive(const AttemptPtr &Attempt) {
    TargetState &State = Targets[Attempt->Target];
    if (State.Down) {
      if (Now - State.DownSince < SilenceDetection)
        State.LostAttempts.push_back(Attempt);
      else
        sendReply(Attempt, AttemptOutcome::NotSent);
      return;
    }
    if (State.OpenConnections >= Setup.Connections) {
      sendReply(Attempt, AttemptOutcome::Full);
      return;
    }

    ++State.OpenConnections;
    Attempt->ArrivedAt = Now;
    if (Attempt->Holds == Occupancy::Slot) {
      State.Waiting.push_back(Attempt);
      startWaiting(Attempt->Target);
      return;
    }

    State.Active.push_back(Attempt);
    after(Attempt->Size,
          [this, Attempt] { finish(Attempt, AttemptOutcome::Done); });
  }

  void startWaiting(std::uint32_t Target) {
    TargetState &State = Targets[Target];
    while (State.BusySlots < Setup.Slots && !State.Waiting.empty()) {
      AttemptPtr Next = State.Waiting.front();
      State.Waiting.pop_front();
      if (Now > Next->Deadline) {
        --State.OpenConnections;
        sendReply(Next, AttemptOutcome::LateAtTarget);
        continue;
      }
      ++State.BusySlots;
      State.Active.push_back(Next);
      Next->Running = true;
      Next->StartedAt = Now;
      if (State.Failing) {
        after(FailureTime,
              [this, Next] { finish(Next, AttemptOutcome::Error); });
        continue;
      }
      double Factor = slowdown(Target);
      if (Generator.unit() < PauseChance)
        Factor *= PauseFactor;
      auto Service = Duration(static_cast<Duration::rep>(
          static_cast<double>(Next->Size.count()) * Factor));
      after(Service, [this, Next] { finish(Next, AttemptOutcome::Done); });
    }
  }

  void finish(const AttemptPtr &Attempt, AttemptOutcome Result) {
    // Cancelled and lost attempts have already been removed from the target.
    if (!removeAttempt(Attempt))
      return;

    sendReply(Attempt, Result);
  }

  bool removeAttempt(const AttemptPtr &Attempt) {
    TargetState &State = Targets[Attempt->Target];
    auto Found = std::find(State.Active.begin(), State.Active.end(), Attempt);
    if (Found == State.Active.end()) {
      auto Queued =
          std::find(State.Waiting.begin(), State.Waiting.end(), Attempt);
      if (Queued == State.Waiting.end())
        return false;
      State.Waiting.erase(Queued);
      --State.OpenConnections;
      return true;
    }

    *Found = State.Active.back();
    State.Active.pop_back();
    --State.OpenConnections;
    if (Attempt->Running)
      --State.BusySlots;
    startWaiting(Attempt->Target);
    return true;
  }

  void sendReply(const AttemptPtr &Attempt, AttemptOutcome Result) {
    Attempt->Settled = true;
    Reply Answer{Result, report(Attempt->Target), {}};
    if (Result == AttemptOutcome::Done) {
      Answer.Load.AtTarget = Now - Attempt->ArrivedAt;
      Answer.Ran = Now - Attempt->StartedAt;
    }
    after(oneWay(Attempt->Target),
          [Attempt, Answer] { Attempt->OnReply(Answer); });
  }

  LoadReport report(std::uint32_t Target) {
    TargetState &State = Targets[Target];
    if (Now - State.ReportedAt >= ReportLag) {
      State.ReportedAt = Now;
      // A single entry uses the fleet, so all load is that entry's.
      State.Reported = {State.BusySlots,
                        static_cast<std::uint32_t>(State.Waiting.size()),
                        State.OpenConnections,
                        State.BusySlots,
                        State.OpenConnections,
                        {}};
    }
    return State.Reported;
  }

  void reportLostAttempts(std::uint32_t Target) {
    std::vector<AttemptPtr> LostAttempts;
    LostAttempts.swap(Targets[Target].LostAttempts);
    for (const AttemptPtr &Attempt : LostAttempts) {
      if (Attempt->Settled)
        continue;
      Attempt->Settled = true;
      Attempt->OnReply({AttemptOutcome::LinkSilent, {}, {}});
    }
  }

  Deployment Setup;
  Random Generator;
  std::vector<Duration> OneWayDelays;
  std::vector<TargetState> Targets;
  std::vector<Slowdown> Slowdowns;
  std::priority_queue<Event> Events;
  std::uint64_t NextEvent = 0;
  TimePoint Now{};
};

} // namespace daisyspool::bench

#endif // DAISYSPOOL_BENCH_REQUESTFLEET_H
