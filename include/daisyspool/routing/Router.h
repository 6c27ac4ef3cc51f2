#ifndef DAISYSPOOL_ROUTING_ROUTER_H
#define DAISYSPOOL_ROUTING_ROUTER_H

#include "daisyspool/admission/ConcurrencyLimit.h"
#include "daisyspool/admission/WorkClass.h"
#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Ids.h"
#include "daisyspool/core/Random.h"
#include "daisyspool/routing/RetryBudget.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace daisyspool {

struct RouterSettings {
  /// The failure domain of this entry.
  FailureDomainId Home;
  /// Round trip added by a failure domain that has no delay of its own set.
  Duration DefaultExtraDelay = Millis(7);
  /// Targets compared for each decision: 1 is plain random choice.
  std::uint32_t Choices = 2;
  /// How much a full target counts as slower than an idle one.
  double LoadWeight = 0.5;
  /// Consecutive failures that eject a target.
  std::uint32_t EjectAfter = 3;
  /// Part of recent attempts that must succeed for a target to stay.
  double EjectBelow = 0.5;
  Duration FirstEjection = std::chrono::seconds(1);
  Duration LongestEjection = std::chrono::seconds(64);
  /// Time without failures after which the next ejection is short again.
  Duration ForgiveAfter = std::chrono::seconds(60);
  /// Largest part of the targets that may be ejected.
  double MaxEjectedShare = 0.5;
  Duration SlowStart = std::chrono::seconds(5);
  /// How long a load report counts. Older reports are ignored, since a target
  /// believed to be full would get no request and so never correct the report.
  Duration ReportLifetime = std::chrono::seconds(1);
  bool AdaptConcurrency = true;
  /// Counts an attempt in another domain only for the part of its time that it
  /// spends at the target. Otherwise the target's slots stand idle during the
  /// round trip, which is as long as a short request.
  bool DiscountTransit = true;
};

struct TargetInfo {
  TargetId Id;
  FailureDomainId Domain;
  std::uint32_t Slots = 0;
  std::uint32_t Connections = 0;
};

/// Load as the agent of a target reports it on a reply.
struct LoadReport {
  std::uint32_t BusySlots = 0;
  std::uint32_t Queued = 0;
  std::uint32_t OpenConnections = 0;
  /// Of the above, those held for the entry that receives the report.
  std::uint32_t OwnSlots = 0;
  std::uint32_t OwnConnections = 0;
  /// Time that the request spent at the target; zero if unknown.
  Duration AtTarget{};
};

enum class AttemptKind : std::uint8_t { First, Retry, Hedge };

struct RouteRequest {
  WorkClass Class = WorkClass::Urgent;
  Occupancy Holds = Occupancy::Slot;
  AttemptKind Kind = AttemptKind::First;
  bool Idempotent = false;
  Duration Remaining{};
  /// Mean time at the target of the request's class.
  Duration ExpectedService{};
  /// Requests of the class that wait in this entry, this one included.
  std::uint32_t Waiting = 1;
  /// Slots reserved for more urgent classes, from
  /// AdmissionQueue::reservationAbove. As many slots of the home domain are
  /// left to those classes.
  std::uint32_t ReservationAbove = 0;
  /// Targets that earlier attempts used.
  std::span<const TargetId> Tried;
};

enum class RouteReason : std::uint8_t {
  Home,
  Spilled,
  Probe,
  /// No target: waiting for the home domain is quicker than the extra delay.
  WaitForHome,
  NoTarget,
  NotIdempotent,
  BudgetSpent
};

/// The reason's name in metrics and logs.
const char *toString(RouteReason Reason);

/// One target that a decision compared.
struct RouteCandidate {
  std::uint32_t Index = 0;
  std::uint32_t Domain = 0;
  std::uint32_t Busy = 0;
  std::uint32_t Limit = 0;
  double Slowdown = 1;
  double Success = 1;
  /// Estimated time to the answer, without extra delay.
  Duration Estimate{};
};

/// What a routing decision was based on.
struct RouteDecision {
  RouteReason Reason = RouteReason::NoTarget;
  std::optional<RouteCandidate> Home;
  std::optional<RouteCandidate> Remote;
  /// Estimated time to the answer in the home domain, waiting included.
  Duration HomeTime{};
  Duration ExtraDelay{};
  std::uint32_t HomeFree = 0;
  /// Free slots that this leaves to more urgent classes.
  std::uint32_t KeepFreeAtHome = 0;
};

/// One attempt at a target, from onSent to its one outcome.
struct AttemptTicket {
  std::uint32_t Index = 0;
  std::uint32_t Generation = 0;
  WorkClass Class = WorkClass::Urgent;
  Occupancy Holds = Occupancy::Slot;
  bool Probe = false;
  /// Part of a slot that the attempt counts for.
  double Weight = 1;
  std::uint32_t InFlight = 0;
  TimePoint SentAt{};
  Duration Expected{};
};

enum class FailureKind : std::uint8_t {
  /// The target answered with a failure of its own.
  Error,
  TimedOut,
  /// The link went silent; the target is ejected at once.
  LinkSilent,
  /// The agent had no free slot or connection; not the target's fault.
  Full
};

/// Chooses a target for each attempt of one service.
///
/// Two random targets of the entry's failure domain are compared by estimated
/// time to the answer. Another domain is used when the time saved exceeds its
/// extra delay. No target gets more attempts than it has slots or connections,
/// counting those that it reports for other entries; attempts in transit to
/// another domain count in part, and its agent holds them to the slots. A
/// target that fails is ejected for a time that doubles with each ejection,
/// returns by one probe and then gets more requests step by step. Retries and
/// hedges need an idempotent request and a paid place in the RetryBudget.
///
/// Use one router per service in an entry. A request that gets no target goes
/// back to the AdmissionQueue. Times passed in must not go backwards.
///
/// Thread safety: one thread at a time.
class Router {
public:
  /// \p Budget must outlive the router.
  Router(RouterSettings Settings, RetryBudget &Budget, std::uint64_t Seed);
  Router(const Router &) = delete;
  Router &operator=(const Router &) = delete;

  /// Sets the round trip added by another domain; it applies until replies
  /// show another delay, and again when no replies come.
  void setExtraDelay(const FailureDomainId &Domain, Duration Delay);

  /// Adds a target, or replaces one that has the same id. A \p Warm target
  /// takes full load at once. Precondition: slots and connections are not 0.
  void addTarget(const TargetInfo &Info, TimePoint Now, bool Warm = false);

  /// Ends new attempts at a leaving or dead target. Attempts in flight may
  /// still report their outcome. Unknown ids are ignored.
  void removeTarget(const TargetId &Id, TimePoint Now);

  /// The target for one attempt, or nothing. Nothing changes until onSent.
  std::optional<TargetId> choose(const RouteRequest &Request, TimePoint Now);

  /// Counts an attempt at the target that choose returned last, and pays for
  /// it if it is a retry or a hedge. Precondition: \p Id is that target and no
  /// target has been added or removed since.
  AttemptTicket onSent(const TargetId &Id, const RouteRequest &Request,
                       TimePoint Now);

  /// The attempt was answered. For a session: the stream ended.
  void onReply(const AttemptTicket &Ticket, const LoadReport &Load,
               TimePoint Now);

  /// The attempt failed.
  void onFailure(const AttemptTicket &Ticket, FailureKind Kind, TimePoint Now);

  /// The attempt was cancelled and tells nothing about the target.
  void onCancelled(const AttemptTicket &Ticket, TimePoint Now);

  /// The inputs of the last call of choose.
  const RouteDecision &lastDecision() const { return Last; }

  /// One line that explains the last call of choose.
  std::string explainLast() const;

  /// Attempts that may be in flight at once, for AdmissionQueue::setCapacity.
  /// It grows with the attempts that are in transit.
  std::uint32_t capacity(Occupancy Holds) const;

  /// Part of the slots in use or reported in use.
  double utilization() const;

  std::uint32_t targetCount() const { return Live; }
  std::uint32_t ejectedCount() const { return Ejected; }

  /// Attempts of this router that hold a slot of \p Id; 0 if unknown.
  std::uint32_t slotsInFlight(const TargetId &Id) const;
  /// Attempts of this router that hold a connection of \p Id; 0 if unknown.
  std::uint32_t connectionsInFlight(const TargetId &Id) const;

private:
  enum class State : std::uint8_t { Gone, Serving, Ejected, Probing };

  static constexpr std::int32_t NotListed = -1;

  struct Target {
    explicit Target(std::uint32_t Slots) : Concurrency(Slots) {}

    TargetInfo Info;
    std::uint32_t Domain = 0;
    std::uint32_t Generation = 0;
    State Is = State::Serving;
    std::uint32_t OwnSlots = 0;
    std::array<std::uint32_t, WorkClassCount> OwnSlotsOf{};
    /// Sum of the weights of the attempts that hold the own slots.
    double Occupied = 0;
    std::uint32_t OwnConnections = 0;
    std::uint32_t OtherSlots = 0;
    std::uint32_t OtherConnections = 0;
    std::uint32_t ReportedQueue = 0;
    /// This target's part of its domain's SlotsFree.
    std::uint32_t FreeSlots = 0;
    TimePoint ReportedAt{};
    /// Attempts that may be in flight, by what they hold.
    std::array<std::uint32_t, OccupancyCount> Limit{};
    /// Place in the domain's list of targets with room.
    std::array<std::int32_t, OccupancyCount> Listed{NotListed, NotListed};
    double Slowdown = 1;
    TimePoint SlowdownAt{};
    double Success = 1;
    std::uint32_t Attempts = 0;
    std::uint32_t FailuresInRow = 0;
    std::uint32_t Ejections = 0;
    TimePoint LastFailure{};
    TimePoint EjectedUntil{};
    TimePoint SlowStartFrom{};
    bool SlowStarting = false;
    bool ProbeInFlight = false;
    std::optional<TimePoint> RecheckAt;
    ConcurrencyLimit Concurrency;
  };

  struct Domain {
    FailureDomainId Id;
    Duration SetDelay{};
    double LearnedDelay = 0;
    std::optional<TimePoint> LearnedAt;
    std::array<std::vector<std::uint32_t>, OccupancyCount> Open;
    std::uint32_t SlotLimit = 0;
    std::uint32_t SlotsFree = 0;
  };

  std::uint32_t domainIndex(const FailureDomainId &Id);
  std::uint32_t allocate(const TargetInfo &Info);
  void resetTarget(Target &T, const TargetInfo &Info);
  void refresh(std::uint32_t Index, TimePoint Now);
  std::uint32_t slotLimit(Target &T, TimePoint Now) const;
  void setListed(std::uint32_t Index, Occupancy Holds, bool Wanted);
  void scheduleRecheck(std::uint32_t Index, TimePoint At);
  void runRechecks(TimePoint Now);
  void recheck(std::uint32_t Index, TimePoint Now);
  void eject(std::uint32_t Index, TimePoint Now);
  void endEjection(std::uint32_t Index, State Next, TimePoint Now);
  void releaseEjectedOverCap(TimePoint Now);
  bool mayEjectOneMore() const;
  std::optional<std::uint32_t> dueProbe(const RouteRequest &Request,
                                        TimePoint Now) const;
  RouteCandidate evaluate(std::uint32_t Index, const RouteRequest &Request,
                          TimePoint Now) const;
  std::optional<RouteCandidate>
  sample(const Domain &In, const RouteRequest &Request, TimePoint Now);
  double weight(const Domain &To, const RouteRequest &Request,
                TimePoint Now) const;
  bool hasRoom(const Target &T, const RouteRequest &Request,
               double Weight) const;
  bool tried(std::uint32_t Index, const RouteRequest &Request) const;
  Duration extraDelay(const Domain &To, TimePoint Now) const;
  void considerRemote(const RouteRequest &Request, TimePoint Now);
  TargetId decide(RouteReason Reason, std::uint32_t Index);
  std::uint32_t keepFreeAtHome(const RouteRequest &Request) const;
  Target *find(const AttemptTicket &Ticket);
  void settle(Target &T, const AttemptTicket &Ticket);
  void noteLoad(Target &T, const LoadReport &Load, TimePoint Now);
  void noteSlowdown(Target &T, const AttemptTicket &Ticket,
                    const LoadReport &Load, TimePoint Now);

  RouterSettings Settings;
  RetryBudget &Budget;
  Random Source;
  std::vector<Target> Targets;
  std::vector<std::uint32_t> FreeIndexes;
  std::unordered_map<TargetId, std::uint32_t> Indexes;
  std::vector<Domain> Domains;
  std::vector<std::uint32_t> Probing;
  /// A heap of the next time each target changes by itself.
  std::vector<std::pair<TimePoint, std::uint32_t>> Rechecks;
  std::array<std::uint32_t, OccupancyCount> Capacity{};
  /// Sum of the weights of all attempts that hold slots, and their number.
  double Occupied = 0;
  std::uint32_t SlotsInUse = 0;
  /// Slots in the home domain that each class holds.
  std::array<std::uint32_t, WorkClassCount> HeldAtHome{};
  std::uint32_t Live = 0;
  std::uint32_t Ejected = 0;
  RouteDecision Last;
  std::uint32_t LastIndex = 0;
};

} // namespace daisyspool

#endif // DAISYSPOOL_ROUTING_ROUTER_H
