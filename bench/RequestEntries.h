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

enum class RequestOutcome { Answered, RefusedNotRun, Failed };

struct SentAttempt {
  RequestFleet::AttemptPtr Attempt;
  AttemptTicket Ticket;
  AttemptKind Kind = AttemptKind::First;
  bool Pending = true;
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
  std::vector<SentAttempt> SentAttempts;
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
using EndedFn =
    std::function<void(BenchRequest &, RequestOutcome, Duration Ran)>;

/// The interface of an entry under test, with counters of its attempts.
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

  std::uint64_t firstAttempts() const { return FirstAttempts; }
  std::uint64_t retries() const { return Retries; }
  std::uint64_t hedges() const { return Hedges; }

protected:
  void end(BenchRequest &Request, RequestOutcome Result, Duration Ran = {}) {
    if (Request.Ended)
      return;
    Request.Ended = true;
    OnEnded(Request, Result, Ran);
  }

  FleetAttempt makeAttempt(const BenchRequest &Request, std::uint32_t Target) {
    FleetAttempt Attempt;
    Attempt.Target = Target;
    Attempt.Holds = Request.holds();
    Attempt.Size = Request.Size;
    return Attempt;
  }

  RequestFleet &Fleet;
  EndedFn OnEnded;
  std::uint64_t FirstAttempts = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Hedges = 0;
};

/// Settings of DaisyEntry that benchmark variants change.
struct DaisyOptions {
  RouterSettings Routing;
  AdmissionSettings Admission;
  HedgeSettings Hedging;
  bool Hedge = true;
  bool KeepHomeFree = true;
};

/// An entry that uses the Router and AdmissionQueue of the product.
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
    TargetIndexes[Info.Id] = Target;
    Routes.addTarget(Info, Fleet.now(), Warm);
    dispatchQueued();
  }

  void removeTarget(std::uint32_t Target) override {
    Routes.removeTarget(Fleet.info(Target).Id, Fleet.now());
  }

  void tick() override {
    Queue.dropLate(Fleet.now());
    dispatchQueued();
  }

  void arrive(const RequestPtr &Request) override {
    ActiveRequests[Request->Key] = Request;
    offer(*Request);
    dispatchQueued();
  }

private:
  void offer(BenchRequest &Request) {
    updateCapacity();
    Work Item{Request.Key,
              Request.Load->Class,
              TeamId("team" + std::to_string(Request.Team)),
              Request.deadline() - Fleet.now(),
              Request.holds(),
              Request.Attempts > 0};
    AdmissionDecision Decision = Queue.offer(Item, Fleet.now());
    if (auto *Admission = std::get_if<Admitted>(&Decision))
      dispatch(Admission->Start);
    else if (auto *Refusal = std::get_if<Refused>(&Decision))
      onRefused(*Refusal);
  }

  void updateCapacity() {
    Queue.setCapacity(Occupancy::Slot, Routes.capacity(Occupancy::Slot));
    Queue.setCapacity(Occupancy::ConnectionOnly,
                      Routes.capacity(Occupancy::ConnectionOnly));
  }

  void dispatchQueued() {
    updateCapacity();
    ClassSet Eligible = ClassSet::all();
    while (auto Next = Queue.next(Fleet.now(), Eligible))
      if (!dispatch(*Next))
        Eligible = Eligible.without(Next->Class);
    while (auto Late = Queue.nextRefused())
      onRefused(*Late);
  }

  void onRefused(const Refused &Decision) {
    auto Found = ActiveRequests.find(Decision.Key);
    RequestPtr Request = Found->second;
    ActiveRequests.erase(Found);
    end(*Request, Decision.Executed == Execution::NotRun
                      ? RequestOutcome::RefusedNotRun
                      : RequestOutcome::Failed);
  }

  RouteRequest makeRouteRequest(const BenchRequest &Request,
                                AttemptKind Kind) const {
    WorkClass Class = Request.Load->Class;
    RouteRequest Query;
    Query.Class = Class;
    Query.Holds = Request.holds();
    Query.Kind = Kind;
    Query.Idempotent = Request.Load->Idempotent;
    Query.Remaining = Request.deadline() - Fleet.now();
    Query.ExpectedService = Queue.expectedService(Class);
    Query.Waiting = Queue.queued(Class) + 1;
    if (Options.KeepHomeFree)
      Query.ReservationAbove = Queue.reservationAbove(Class);
    Query.Tried = Request.Tried;
    return Query;
  }

  bool dispatch(const Dispatch &Granted) {
    RequestPtr Request = ActiveRequests.at(Granted.Key);
    AttemptKind Kind =
        Request->Attempts == 0 ? AttemptKind::First : AttemptKind::Retry;
    RouteRequest Query = makeRouteRequest(*Request, Kind);
    auto Id = Routes.choose(Query, Fleet.now());
    if (!Id && Routes.lastDecision().Reason == RouteReason::BudgetSpent) {
      Queue.onDone(Granted, {}, {}, false);
      ActiveRequests.erase(Request->Key);
      end(*Request, RequestOutcome::Failed);
      return true;
    }
    if (!Id) {
      Queue.restore(Granted, Fleet.now());
      return false;
    }

    Request->Granted = Granted;
    Request->GrantedAt = Fleet.now();
    send(Request, *Id, Query);
    scheduleHedge(Request);
    return true;
  }

  void send(const RequestPtr &Request, const TargetId &Id,
            const RouteRequest &Query) {
    AttemptTicket Ticket = Routes.onSent(Id, Query, Fleet.now());
    if (Query.Kind == AttemptKind::First)
      ++FirstAttempts;
    else
      ++(Query.Kind == AttemptKind::Retry ? Retries : Hedges);
    ++Request->Attempts;
    Request->Tried.push_back(Id);

    std::size_t Index = Request->SentAttempts.size();
    FleetAttempt Attempt = makeAttempt(*Request, TargetIndexes.at(Id));
    if (Request->holds() == Occupancy::Slot)
      Attempt.Deadline = Request->deadline();
    Attempt.OnReply = [this, Request, Index](const Reply &Answer) {
      onReply(Request, Index, Answer);
    };
    Request->SentAttempts.push_back(
        {Fleet.send(std::move(Attempt)), Ticket, Query.Kind, true});
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

    std::size_t Attempts = Request->SentAttempts.size();
    Fleet.after(*Delay, [this, Request, Attempts] {
      if (Request->Ended || Request->SentAttempts.size() != Attempts ||
          !Request->SentAttempts.back().Pending)
        return;
      RouteRequest Query = makeRouteRequest(*Request, AttemptKind::Hedge);
      if (auto Id = Routes.choose(Query, Fleet.now()))
        send(Request, *Id, Query);
    });
  }

  void onReply(const RequestPtr &Request, std::size_t Index,
               const Reply &Answer) {
    SentAttempt &Attempt = Request->SentAttempts[Index];
    if (!Attempt.Pending)
      return;
    Attempt.Pending = false;
    if (Answer.Result == AttemptOutcome::Done) {
      Routes.onReply(Attempt.Ticket, Answer.Load, Fleet.now());
      onSuccess(Request, Answer);
    } else if (Answer.Result == AttemptOutcome::LateAtTarget) {
      Routes.onCancelled(Attempt.Ticket, Fleet.now());
      onLateAtTarget(Request);
    } else {
      Routes.onFailure(Attempt.Ticket, failureKind(Answer.Result), Fleet.now());
      onAttemptFailed(Request);
    }
    dispatchQueued();
  }

  static FailureKind failureKind(AttemptOutcome Result) {
    if (Result == AttemptOutcome::Full)
      return FailureKind::Full;
    return Result == AttemptOutcome::LinkSilent ||
                   Result == AttemptOutcome::NotSent
               ? FailureKind::LinkSilent
               : FailureKind::Error;
  }

  void onSuccess(const RequestPtr &Request, const Reply &Answer) {
    if (Request->Ended)
      return;

    Duration Took = Fleet.now() - Request->GrantedAt;
    Queue.onDone(Request->Granted, Took, Answer.Load.AtTarget, true);
    if (Request->holds() == Occupancy::Slot)
      Hedging[static_cast<std::size_t>(Request->Load->Class)].onReply(Took);
    ActiveRequests.erase(Request->Key);
    end(*Request, RequestOutcome::Answered, Answer.Ran);

    for (SentAttempt &Other : Request->SentAttempts) {
      if (!Other.Pending)
        continue;
      Other.Pending = false;
      Fleet.cancel(Other.Attempt, [this, Ticket = Other.Ticket] {
        Routes.onCancelled(Ticket, Fleet.now());
        dispatchQueued();
      });
    }
  }

  void onLateAtTarget(const RequestPtr &Request) {
    if (Request->Attempts > 1) {
      onAttemptFailed(Request);
      return;
    }
    Duration Took = Fleet.now() - Request->GrantedAt;
    Queue.onDone(Request->Granted, Took, Took, false);
    ActiveRequests.erase(Request->Key);
    end(*Request, RequestOutcome::RefusedNotRun);
  }

  void onAttemptFailed(const RequestPtr &Request) {
    if (Request->Ended)
      return;
    for (const SentAttempt &Other : Request->SentAttempts)
      if (Other.Pending)
        return;

    Duration Took = Fleet.now() - Request->GrantedAt;
    Queue.onDone(Request->Granted, Took, Took, false);
    if (!Request->Load->Idempotent || Request->holds() != Occupancy::Slot) {
      ActiveRequests.erase(Request->Key);
      end(*Request, RequestOutcome::Failed);
      return;
    }
    offer(*Request);
  }

  DaisyOptions Options;
  RetryBudget Budget;
  Router Routes;
  AdmissionQueue Queue;
  std::vector<HedgePolicy> Hedging;
  std::unordered_map<std::uint64_t, RequestPtr> ActiveRequests;
  std::unordered_map<TargetId, std::uint32_t> TargetIndexes;
};

/// Base class of both baselines: retries at once, without a retry budget.
class BaselineEntry : public BenchEntry {
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
    ++(Request->Attempts == 0 ? FirstAttempts : Retries);
    ++Request->Attempts;
    FleetAttempt Attempt = makeAttempt(*Request, Target);
    Attempt.OnReply = [this, Request, Target](const Reply &Answer) {
      onAttemptEnded(Target, *Request);
      if (Answer.Result == AttemptOutcome::Done)
        end(*Request, RequestOutcome::Answered, Answer.Ran);
      else
        retry(Request, Answer.Result);
    };
    Fleet.send(std::move(Attempt));
  }

  void retry(const RequestPtr &Request, AttemptOutcome Result) {
    if (Request->Ended)
      return;
    bool NotRun =
        Result == AttemptOutcome::Full || Result == AttemptOutcome::NotSent;
    if ((Request->Load->Idempotent || NotRun) &&
        Request->Attempts < MaxAttempts) {
      resend(Request);
      return;
    }
    end(*Request, NotRun && Request->Attempts == 1
                      ? RequestOutcome::RefusedNotRun
                      : RequestOutcome::Failed);
  }

  virtual void resend(const RequestPtr &Request) = 0;
  virtual void onAttemptEnded(std::uint32_t, const BenchRequest &) {}

  std::vector<std::uint32_t> Targets;
};

/// Baseline: sends every request to a random target at once, and sends an
/// idempotent request again if no reply arrives within a third of its deadline.
class RandomEntry final : public BaselineEntry {
public:
  using BaselineEntry::BaselineEntry;

  void arrive(const RequestPtr &Request) override {
    if (Targets.empty()) {
      end(*Request, RequestOutcome::RefusedNotRun);
      return;
    }
    send(Request, Targets[Fleet.random().below(Targets.size())]);
    if (Request->Load->Idempotent && Request->holds() == Occupancy::Slot)
      scheduleTimeoutRetry(Request, Request->Attempts);
  }

private:
  void resend(const RequestPtr &Request) override { arrive(Request); }

  void scheduleTimeoutRetry(const RequestPtr &Request, int Attempts) {
    Fleet.after(Request->Load->Deadline / MaxAttempts,
                [this, Request, Attempts] {
                  if (!Request->Ended && Request->Attempts == Attempts &&
                      Attempts < MaxAttempts)
                    arrive(Request);
                });
  }
};

/// Baseline: one first-in first-out queue for all classes; the next request
/// goes to the target with the fewest busy slots.
class FifoEntry final : public BaselineEntry {
public:
  using BaselineEntry::BaselineEntry;

  void addTarget(std::uint32_t Target, bool Warm) override {
    BaselineEntry::addTarget(Target, Warm);
    Slots.resize(Fleet.setup().Targets);
    Connections.resize(Fleet.setup().Targets);
    Slots[Target] = 0;
    Connections[Target] = 0;
    dispatchQueued();
  }

  void arrive(const RequestPtr &Request) override {
    if (Waiting.size() >= MaxWaiting) {
      end(*Request, RequestOutcome::RefusedNotRun);
      return;
    }
    Waiting.push_back(Request);
    dispatchQueued();
  }

private:
  static constexpr std::size_t MaxWaiting = 10240;

  void resend(const RequestPtr &Request) override { arrive(Request); }

  void onAttemptEnded(std::uint32_t Target,
                      const BenchRequest &Request) override {
    Connections[Target] -= Connections[Target] > 0 ? 1 : 0;
    if (Request.holds() == Occupancy::Slot)
      Slots[Target] -= Slots[Target] > 0 ? 1 : 0;
    dispatchQueued();
  }

  void dispatchQueued() {
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
