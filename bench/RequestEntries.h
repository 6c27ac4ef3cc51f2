#ifndef DAISYSPOOL_BENCH_REQUESTENTRIES_H
#define DAISYSPOOL_BENCH_REQUESTENTRIES_H

#include "RequestFleet.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace daisyspool::bench {

enum class Ending { Answered, RefusedUnrun, Failed };

struct InFlight {
  RequestFleet::AttemptPtr Sent;
  AttemptTicket Ticket;
  AttemptKind Kind = AttemptKind::First;
  bool Open = true;
};

struct BenchRequest {
  std::uint64_t Key = 0;
  const ClassLoad *Load = nullptr;
  int Team = 0;
  Duration Size{};
  TimePoint ArrivedAt{};
  bool Ended = false;
  int Attempts = 0;
  std::vector<TargetId> Tried;
  std::vector<InFlight> Open;
  Dispatch Granted;
  TimePoint GrantedAt{};

  TimePoint deadline() const { return ArrivedAt + Load->Deadline; }
  Occupancy holds() const {
    return Load->Class == WorkClass::Session ? Occupancy::ConnectionOnly
                                             : Occupancy::Slot;
  }
};

using RequestPtr = std::shared_ptr<BenchRequest>;

/// Called once for each request, with the time that its answered attempt held
/// a slot.
using EndedFn = std::function<void(BenchRequest &, Ending, Duration Ran)>;

/// The part of an entry that a benchmark compares.
class BenchEntry {
public:
  BenchEntry(RequestFleet &Fleet, EndedFn OnEnded)
      : Fleet(Fleet), OnEnded(std::move(OnEnded)) {}
  BenchEntry(const BenchEntry &) = delete;
  BenchEntry &operator=(const BenchEntry &) = delete;
  virtual ~BenchEntry() = default;

  virtual void arrive(const RequestPtr &Request) = 0;
  virtual void addTarget(std::uint32_t Target, bool Warm) = 0;
  virtual void removeTarget(std::uint32_t Target) = 0;
  /// Called once a millisecond.
  virtual void tick() {}

  std::uint64_t firstAttempts() const { return First; }
  std::uint64_t retries() const { return Retries; }
  std::uint64_t hedges() const { return Hedges; }

protected:
  void end(BenchRequest &Request, Ending How, Duration Ran = {}) {
    if (Request.Ended)
      return;
    Request.Ended = true;
    OnEnded(Request, How, Ran);
  }

  FleetAttempt attempt(const BenchRequest &Request, std::uint32_t Target) {
    FleetAttempt Attempt;
    Attempt.Target = Target;
    Attempt.Holds = Request.holds();
    Attempt.Size = Request.Size;
    return Attempt;
  }

  RequestFleet &Fleet;
  EndedFn OnEnded;
  std::uint64_t First = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Hedges = 0;
};

/// What a variant of the project's own entry changes.
struct DaisyOptions {
  RouterSettings Routing;
  AdmissionSettings Admission;
  HedgeSettings Hedging;
  bool Hedge = true;
  bool KeepHomeFree = true;
};

/// An entry that is driven by Router and AdmissionQueue.
class DaisyEntry final : public BenchEntry {
public:
  DaisyEntry(RequestFleet &Fleet, EndedFn OnEnded, const DaisyOptions &Options)
      : BenchEntry(Fleet, std::move(OnEnded)), Options(Options),
        Routes(this->Options.Routing, Budget, 11), Queue(Options.Admission),
        Hedging(WorkClassCount, HedgePolicy(Options.Hedging)) {
    for (const std::string &Name : Fleet.setup().Domains)
      if (Name != Fleet.setup().Domains.front())
        Routes.setExtraDelay(FailureDomainId(Name), 2 * Fleet.setup().OneWay);
  }

  void addTarget(std::uint32_t Target, bool Warm) override {
    TargetInfo Info = Fleet.info(Target);
    Numbers[Info.Id] = Target;
    Routes.addTarget(Info, Fleet.now(), Warm);
    pump();
  }

  void removeTarget(std::uint32_t Target) override {
    Routes.removeTarget(Fleet.info(Target).Id, Fleet.now());
  }

  void tick() override {
    Queue.dropLate(Fleet.now());
    pump();
  }

  void arrive(const RequestPtr &Request) override {
    Live[Request->Key] = Request;
    offer(*Request);
    pump();
  }

private:
  void offer(BenchRequest &Request) {
    updateCapacity();
    Work Asked{Request.Key,
               Request.Load->Class,
               TeamId("team" + std::to_string(Request.Team)),
               Request.deadline() - Fleet.now(),
               Request.holds(),
               Request.Attempts > 0};
    AdmissionDecision Decision = Queue.offer(Asked, Fleet.now());
    if (auto *Start = std::get_if<Admitted>(&Decision))
      dispatch(Start->Start);
    else if (auto *No = std::get_if<Refused>(&Decision))
      refused(*No);
  }

  void updateCapacity() {
    Queue.setCapacity(Occupancy::Slot, Routes.capacity(Occupancy::Slot));
    Queue.setCapacity(Occupancy::ConnectionOnly,
                      Routes.capacity(Occupancy::ConnectionOnly));
  }

  void pump() {
    updateCapacity();
    ClassSet Eligible = ClassSet::all();
    while (auto Next = Queue.next(Fleet.now(), Eligible))
      if (!dispatch(*Next))
        Eligible = Eligible.without(Next->Class);
    while (auto Late = Queue.nextRefused())
      refused(*Late);
  }

  void refused(const Refused &Decision) {
    auto Found = Live.find(Decision.Key);
    RequestPtr Request = Found->second;
    Live.erase(Found);
    end(*Request, Decision.Executed == Execution::NotRun ? Ending::RefusedUnrun
                                                         : Ending::Failed);
  }

  RouteRequest route(const BenchRequest &Request, AttemptKind Kind) const {
    WorkClass Class = Request.Load->Class;
    RouteRequest Asked;
    Asked.Class = Class;
    Asked.Holds = Request.holds();
    Asked.Kind = Kind;
    Asked.Idempotent = Request.Load->Idempotent;
    Asked.Remaining = Request.deadline() - Fleet.now();
    Asked.ExpectedService = Queue.expectedService(Class);
    Asked.Waiting = Queue.queued(Class) + 1;
    if (Options.KeepHomeFree)
      Asked.ReservationAbove = Queue.reservationAbove(Class);
    Asked.Tried = Request.Tried;
    return Asked;
  }

  bool dispatch(const Dispatch &Granted) {
    RequestPtr Request = Live.at(Granted.Key);
    AttemptKind Kind =
        Request->Attempts == 0 ? AttemptKind::First : AttemptKind::Retry;
    RouteRequest Asked = route(*Request, Kind);
    auto Id = Routes.choose(Asked, Fleet.now());
    if (!Id && Routes.lastDecision().Reason == RouteReason::BudgetSpent) {
      Queue.onDone(Granted, {}, {}, false);
      Live.erase(Request->Key);
      end(*Request, Ending::Failed);
      return true;
    }
    if (!Id) {
      Queue.restore(Granted, Fleet.now());
      return false;
    }

    Request->Granted = Granted;
    Request->GrantedAt = Fleet.now();
    send(Request, *Id, Asked);
    scheduleHedge(Request);
    return true;
  }

  void send(const RequestPtr &Request, const TargetId &Id,
            const RouteRequest &Asked) {
    AttemptTicket Ticket = Routes.onSent(Id, Asked, Fleet.now());
    if (Asked.Kind == AttemptKind::First)
      ++First;
    else
      ++(Asked.Kind == AttemptKind::Retry ? Retries : Hedges);
    ++Request->Attempts;
    Request->Tried.push_back(Id);

    std::size_t Place = Request->Open.size();
    FleetAttempt Attempt = attempt(*Request, Numbers.at(Id));
    if (Request->holds() == Occupancy::Slot)
      Attempt.Deadline = Request->deadline();
    Attempt.OnReply = [this, Request, Place](const Reply &Answer) {
      answered(Request, Place, Answer);
    };
    Request->Open.push_back(
        {Fleet.send(std::move(Attempt)), Ticket, Asked.Kind, true});
  }

  void scheduleHedge(const RequestPtr &Request) {
    if (!Options.Hedge || Request->holds() != Occupancy::Slot)
      return;
    auto Class = static_cast<std::size_t>(Request->Load->Class);
    auto Delay = Hedging[Class].delay(Request->Load->Idempotent,
                                      Request->deadline() - Fleet.now(),
                                      Routes.utilization());
    if (!Delay)
      return;

    std::size_t Attempts = Request->Open.size();
    Fleet.after(*Delay, [this, Request, Attempts] {
      if (Request->Ended || Request->Open.size() != Attempts ||
          !Request->Open.back().Open)
        return;
      RouteRequest Asked = route(*Request, AttemptKind::Hedge);
      if (auto Id = Routes.choose(Asked, Fleet.now()))
        send(Request, *Id, Asked);
    });
  }

  void answered(const RequestPtr &Request, std::size_t Place,
                const Reply &Answer) {
    InFlight &Attempt = Request->Open[Place];
    if (!Attempt.Open)
      return;
    Attempt.Open = false;
    if (Answer.Result == Outcome::Done) {
      Routes.onReply(Attempt.Ticket, Answer.Load, Fleet.now());
      succeeded(Request, Answer);
    } else if (Answer.Result == Outcome::LateAtTarget) {
      Routes.onCancelled(Attempt.Ticket, Fleet.now());
      refusedAtTarget(Request);
    } else {
      Routes.onFailure(Attempt.Ticket, kindOf(Answer.Result), Fleet.now());
      failed(Request);
    }
    pump();
  }

  static FailureKind kindOf(Outcome Result) {
    if (Result == Outcome::Full)
      return FailureKind::Full;
    return Result == Outcome::LinkSilent || Result == Outcome::NotSent
               ? FailureKind::LinkSilent
               : FailureKind::Error;
  }

  void succeeded(const RequestPtr &Request, const Reply &Answer) {
    if (Request->Ended)
      return;

    Duration Took = Fleet.now() - Request->GrantedAt;
    Queue.onDone(Request->Granted, Took, Answer.Load.AtTarget, true);
    if (Request->holds() == Occupancy::Slot)
      Hedging[static_cast<std::size_t>(Request->Load->Class)].onReply(Took);
    Live.erase(Request->Key);
    end(*Request, Ending::Answered, Answer.Ran);

    for (InFlight &Other : Request->Open) {
      if (!Other.Open)
        continue;
      Other.Open = false;
      Fleet.cancel(Other.Sent, [this, Ticket = Other.Ticket] {
        Routes.onCancelled(Ticket, Fleet.now());
        pump();
      });
    }
  }

  void refusedAtTarget(const RequestPtr &Request) {
    if (Request->Attempts > 1) {
      failed(Request);
      return;
    }
    Duration Took = Fleet.now() - Request->GrantedAt;
    Queue.onDone(Request->Granted, Took, Took, false);
    Live.erase(Request->Key);
    end(*Request, Ending::RefusedUnrun);
  }

  void failed(const RequestPtr &Request) {
    if (Request->Ended)
      return;
    for (const InFlight &Other : Request->Open)
      if (Other.Open)
        return;

    Duration Took = Fleet.now() - Request->GrantedAt;
    Queue.onDone(Request->Granted, Took, Took, false);
    if (!Request->Load->Idempotent || Request->holds() != Occupancy::Slot) {
      Live.erase(Request->Key);
      end(*Request, Ending::Failed);
      return;
    }
    offer(*Request);
  }

  DaisyOptions Options;
  RetryBudget Budget;
  Router Routes;
  AdmissionQueue Queue;
  std::vector<HedgePolicy> Hedging;
  std::unordered_map<std::uint64_t, RequestPtr> Live;
  std::unordered_map<TargetId, std::uint32_t> Numbers;
};

/// What both baselines share: immediate retries without a budget.
class PlainEntry : public BenchEntry {
public:
  using BenchEntry::BenchEntry;

  void addTarget(std::uint32_t Target, bool) override {
    Targets.push_back(Target);
  }
  void removeTarget(std::uint32_t Target) override {
    std::erase(Targets, Target);
  }

protected:
  static constexpr int MaxAttempts = 3;

  void send(const RequestPtr &Request, std::uint32_t Target) {
    ++(Request->Attempts == 0 ? First : Retries);
    ++Request->Attempts;
    FleetAttempt Attempt = attempt(*Request, Target);
    Attempt.OnReply = [this, Request, Target](const Reply &Answer) {
      left(Target, *Request);
      if (Answer.Result == Outcome::Done)
        end(*Request, Ending::Answered, Answer.Ran);
      else
        retry(Request, Answer.Result);
    };
    Fleet.send(std::move(Attempt));
  }

  void retry(const RequestPtr &Request, Outcome Result) {
    if (Request->Ended)
      return;
    bool NotRun = Result == Outcome::Full || Result == Outcome::NotSent;
    if ((Request->Load->Idempotent || NotRun) &&
        Request->Attempts < MaxAttempts) {
      again(Request);
      return;
    }
    end(*Request, NotRun && Request->Attempts == 1 ? Ending::RefusedUnrun
                                                   : Ending::Failed);
  }

  virtual void again(const RequestPtr &Request) = 0;
  virtual void left(std::uint32_t, const BenchRequest &) {}

  std::vector<std::uint32_t> Targets;
};

/// Baseline: every request goes to a random target at once. An idempotent one
/// that has no answer after a third of its deadline is sent again.
class RandomEntry final : public PlainEntry {
public:
  using PlainEntry::PlainEntry;

  void arrive(const RequestPtr &Request) override {
    if (Targets.empty()) {
      end(*Request, Ending::RefusedUnrun);
      return;
    }
    send(Request, Targets[Fleet.random().below(Targets.size())]);
    if (Request->Load->Idempotent && Request->holds() == Occupancy::Slot)
      watch(Request, Request->Attempts);
  }

private:
  void again(const RequestPtr &Request) override { arrive(Request); }

  void watch(const RequestPtr &Request, int Attempts) {
    Fleet.after(Request->Load->Deadline / MaxAttempts,
                [this, Request, Attempts] {
                  if (!Request->Ended && Request->Attempts == Attempts &&
                      Attempts < MaxAttempts)
                    arrive(Request);
                });
  }
};

/// Baseline: one first-in first-out queue for all classes; the least loaded
/// target takes the next request.
class FifoEntry final : public PlainEntry {
public:
  using PlainEntry::PlainEntry;

  void addTarget(std::uint32_t Target, bool Warm) override {
    PlainEntry::addTarget(Target, Warm);
    Slots.resize(Fleet.setup().Targets);
    Connections.resize(Fleet.setup().Targets);
    Slots[Target] = 0;
    Connections[Target] = 0;
    pump();
  }

  void arrive(const RequestPtr &Request) override {
    if (Waiting.size() >= MaxWaiting) {
      end(*Request, Ending::RefusedUnrun);
      return;
    }
    Waiting.push_back(Request);
    pump();
  }

private:
  static constexpr std::size_t MaxWaiting = 10240;

  void again(const RequestPtr &Request) override { arrive(Request); }

  void left(std::uint32_t Target, const BenchRequest &Request) override {
    Connections[Target] -= Connections[Target] > 0 ? 1 : 0;
    if (Request.holds() == Occupancy::Slot)
      Slots[Target] -= Slots[Target] > 0 ? 1 : 0;
    pump();
  }

  void pump() {
    while (!Waiting.empty() && !Targets.empty()) {
      std::uint32_t Best = Targets.front();
      for (std::uint32_t Target : Targets)
        if (Slots[Target] < Slots[Best])
          Best = Target;
      RequestPtr Next = Waiting.front();
      bool NeedsSlot = Next->holds() == Occupancy::Slot;
      if ((NeedsSlot && Slots[Best] >= Fleet.setup().Slots) ||
          Connections[Best] >= Fleet.setup().Connections)
        return;
      Waiting.pop_front();
      ++Connections[Best];
      Slots[Best] += NeedsSlot ? 1 : 0;
      send(Next, Best);
    }
  }

  std::deque<RequestPtr> Waiting;
  std::vector<std::uint32_t> Slots;
  std::vector<std::uint32_t> Connections;
};

} // namespace daisyspool::bench

#endif // DAISYSPOOL_BENCH_REQUESTENTRIES_H
