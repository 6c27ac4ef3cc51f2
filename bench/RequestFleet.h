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

/// One class of a deployment's requests.
struct ClassLoad {
  WorkClass Class = WorkClass::Urgent;
  /// Part of all slots that the class uses in the steady mix; for sessions,
  /// the part of all connections.
  double Utilization = 0;
  Duration MeanService{};
  Duration Deadline{};
  bool Idempotent = true;
  int Teams = 1;
};

/// A deployment of section 1.1 of the design page.
struct Deployment {
  std::string Name;
  std::vector<std::string> Domains;
  Duration OneWay{};
  std::uint32_t Targets = 11;
  std::uint32_t Slots = 8;
  std::uint32_t Connections = 64;
  /// The setting of the urgent class. Less of it gives other work more slots
  /// and lets urgent requests wait more often.
  double ReserveDeviations = 0.7;
  std::vector<ClassLoad> Classes;

  double slots() const { return double(Targets) * Slots; }
};

/// A target that is slower by a factor for some time, as under a noisy task.
struct Slowdown {
  std::uint32_t Target = 0;
  Duration From{};
  Duration Until{};
  double Factor = 1;
};

enum class Outcome { Done, Error, Full, LinkSilent, NotSent, LateAtTarget };

struct Reply {
  Outcome Result = Outcome::Done;
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

/// A fake fleet under virtual time: targets with slots, connections and a
/// first-in first-out queue, service times that grow with load and with noisy
/// neighbours, and load reports that lag.
///
/// Thread safety: one thread at a time.
class RequestFleet {
public:
  using AttemptPtr = std::shared_ptr<FleetAttempt>;

  RequestFleet(Deployment Setup, std::uint64_t Seed)
      : Setup(std::move(Setup)), Source(Seed),
        Links(this->Setup.Domains.size()), Targets(this->Setup.Targets) {
    for (std::size_t Index = 0; Index < Links.size(); ++Index)
      Links[Index] = Index == 0 ? HomeOneWay : this->Setup.OneWay;
  }
  RequestFleet(const RequestFleet &) = delete;
  RequestFleet &operator=(const RequestFleet &) = delete;

  const Deployment &setup() const { return Setup; }
  TimePoint now() const { return Now; }
  Random &random() { return Source; }

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
    return Target % static_cast<std::uint32_t>(Links.size());
  }
  TargetInfo info(std::uint32_t Target) const {
    return {TargetId("worker" + std::to_string(Target)),
            FailureDomainId(Setup.Domains[domainOf(Target)]), Setup.Slots,
            Setup.Connections};
  }

  void addSlowdown(Slowdown Wave) { Waves.push_back(Wave); }
  void setOneWay(std::uint32_t Domain, Duration OneWay) {
    Links[Domain] = OneWay;
  }
  /// The target answers every request quickly with an error.
  void setFailing(std::uint32_t Target, bool Failing) {
    Targets[Target].Failing = Failing;
  }
  /// The target goes silent, or returns empty.
  void setDown(std::uint32_t Target, bool Down) {
    Machine &At = Targets[Target];
    At.Down = Down;
    At.DownSince = Now;
    At.Lost.insert(At.Lost.end(), At.Waiting.begin(), At.Waiting.end());
    At.Lost.insert(At.Lost.end(), At.Present.begin(), At.Present.end());
    At.Waiting.clear();
    At.Present.clear();
    At.Busy = 0;
    At.Open = 0;
    if (Down)
      after(SilenceDetection, [this, Target] { reportLost(Target); });
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
        leave(Attempt);
    });
    after(2 * oneWay(Attempt->Target), std::move(OnConfirmed));
  }

private:
  static constexpr Duration HomeOneWay = std::chrono::microseconds(150);
  static constexpr Duration SilenceDetection = Millis(1500);
  static constexpr Duration ReportLag = Millis(100);
  static constexpr Duration FailureTime = Millis(1);
  // Rare pauses of one attempt, such as garbage collection or page faults.
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

  struct Machine {
    std::deque<AttemptPtr> Waiting;
    std::vector<AttemptPtr> Present;
    std::vector<AttemptPtr> Lost;
    std::uint32_t Busy = 0;
    std::uint32_t Open = 0;
    bool Failing = false;
    bool Down = false;
    TimePoint DownSince{};
    LoadReport Reported;
    TimePoint ReportedAt{};
  };

  Duration oneWay(std::uint32_t Target) const {
    return Links[domainOf(Target)];
  }

  double slowdown(std::uint32_t Target) const {
    double Factor = 1;
    for (const Slowdown &Wave : Waves)
      if (Wave.Target == Target && Now >= TimePoint(Wave.From) &&
          Now < TimePoint(Wave.Until))
        Factor *= Wave.Factor;
    double Load = double(Targets[Target].Busy) / Setup.Slots;
    return Factor * (Load <= 0.5 ? 1.0 : Load <= 0.8 ? 1.05 : 1.1);
  }

  void arrive(const AttemptPtr &Attempt) {
    Machine &At = Targets[Attempt->Target];
    if (At.Down) {
      if (Now - At.DownSince < SilenceDetection)
        At.Lost.push_back(Attempt);
      else
        answer(Attempt, Outcome::NotSent);
      return;
    }
    if (At.Open >= Setup.Connections) {
      answer(Attempt, Outcome::Full);
      return;
    }

    ++At.Open;
    Attempt->ArrivedAt = Now;
    if (Attempt->Holds == Occupancy::Slot) {
      At.Waiting.push_back(Attempt);
      startWaiting(Attempt->Target);
      return;
    }

    At.Present.push_back(Attempt);
    after(Attempt->Size, [this, Attempt] { finish(Attempt, Outcome::Done); });
  }

  void startWaiting(std::uint32_t Target) {
    Machine &At = Targets[Target];
    while (At.Busy < Setup.Slots && !At.Waiting.empty()) {
      AttemptPtr Next = At.Waiting.front();
      At.Waiting.pop_front();
      if (Now > Next->Deadline) {
        --At.Open;
        answer(Next, Outcome::LateAtTarget);
        continue;
      }
      ++At.Busy;
      At.Present.push_back(Next);
      Next->Running = true;
      Next->StartedAt = Now;
      if (At.Failing) {
        after(FailureTime, [this, Next] { finish(Next, Outcome::Error); });
        continue;
      }
      double Factor = slowdown(Target);
      if (Source.unit() < PauseChance)
        Factor *= PauseFactor;
      auto Service = Duration(static_cast<Duration::rep>(
          static_cast<double>(Next->Size.count()) * Factor));
      after(Service, [this, Next] { finish(Next, Outcome::Done); });
    }
  }

  void finish(const AttemptPtr &Attempt, Outcome Result) {
    // A cancelled or lost attempt has no place at the target any more.
    if (!leave(Attempt))
      return;

    answer(Attempt, Result);
  }

  bool leave(const AttemptPtr &Attempt) {
    Machine &At = Targets[Attempt->Target];
    auto Here = std::find(At.Present.begin(), At.Present.end(), Attempt);
    if (Here == At.Present.end()) {
      auto Queued = std::find(At.Waiting.begin(), At.Waiting.end(), Attempt);
      if (Queued == At.Waiting.end())
        return false;
      At.Waiting.erase(Queued);
      --At.Open;
      return true;
    }

    *Here = At.Present.back();
    At.Present.pop_back();
    --At.Open;
    if (Attempt->Running)
      --At.Busy;
    startWaiting(Attempt->Target);
    return true;
  }

  void answer(const AttemptPtr &Attempt, Outcome Result) {
    Attempt->Settled = true;
    Reply Answer{Result, report(Attempt->Target), {}};
    if (Result == Outcome::Done) {
      Answer.Load.AtTarget = Now - Attempt->ArrivedAt;
      Answer.Ran = Now - Attempt->StartedAt;
    }
    after(oneWay(Attempt->Target),
          [Attempt, Answer] { Attempt->OnReply(Answer); });
  }

  LoadReport report(std::uint32_t Target) {
    Machine &At = Targets[Target];
    if (Now - At.ReportedAt >= ReportLag) {
      At.ReportedAt = Now;
      // One entry uses the fleet, so all load is its own.
      At.Reported = {At.Busy, static_cast<std::uint32_t>(At.Waiting.size()),
                     At.Open, At.Busy,
                     At.Open, {}};
    }
    return At.Reported;
  }

  void reportLost(std::uint32_t Target) {
    std::vector<AttemptPtr> Lost;
    Lost.swap(Targets[Target].Lost);
    for (const AttemptPtr &Attempt : Lost) {
      if (Attempt->Settled)
        continue;
      Attempt->Settled = true;
      Attempt->OnReply({Outcome::LinkSilent, {}, {}});
    }
  }

  Deployment Setup;
  Random Source;
  std::vector<Duration> Links;
  std::vector<Machine> Targets;
  std::vector<Slowdown> Waves;
  std::priority_queue<Event> Events;
  std::uint64_t NextEvent = 0;
  TimePoint Now{};
};

} // namespace daisyspool::bench

#endif // DAISYSPOOL_BENCH_REQUESTFLEET_H
