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
  /// Round-trip time added by a failure domain for which setExtraDelay was not
  /// called.
  Duration DefaultExtraDelay = Millis(7);
  /// Random targets compared for each decision; 1 is plain random choice.
  std::uint32_t Choices = 2;
  /// Relative slowdown assumed for a full target: 0.5 estimates 1.5 times the
  /// service time of an idle one.
  double LoadWeight = 0.5;
  /// Consecutive failures that eject a target.
  std::uint32_t EjectAfterFailures = 3;
  /// A target is ejected when a smaller fraction of its recent attempts
  /// succeeds.
  double EjectBelowSuccessRate = 0.5;
  Duration FirstEjection = std::chrono::seconds(1);
  Duration LongestEjection = std::chrono::seconds(64);
  /// Time without failures after which the next ejection lasts FirstEjection
  /// again.
  Duration EjectionResetAfter = std::chrono::seconds(60);
  /// Maximum fraction of the targets that may be ejected at once.
  double MaxEjectedShare = 0.5;
  /// Time in which the slot limit of a new or readmitted target grows to its
  /// full value.
  Duration SlowStart = std::chrono::seconds(5);
  /// Time for which a load report is used. Older reports are ignored, since a
  /// target reported as full gets no requests whose replies could update the
  /// report.
  Duration ReportLifetime = std::chrono::seconds(1);
  /// Whether a ConcurrencyLimit bounds the slots used at each target.
  bool AdaptConcurrency = true;
  /// Counts an attempt in another domain as the fraction of a slot that equals
  /// the fraction of its time spent at the target. Counted as a whole slot, it
  /// would leave the slot idle during the round trip, which takes as long as a
  /// short request.
  bool DiscountTransit = true;
};

struct TargetInfo {
  TargetId Id;
  FailureDomainId Domain;
  std::uint32_t Slots = 0;
  std::uint32_t Connections = 0;
};

/// Load of a target, reported by its agent with each reply.
struct LoadReport {
  std::uint32_t BusySlots = 0;
  std::uint32_t Queued = 0;
  std::uint32_t OpenConnections = 0;
  /// The busy slots and open connections that belong to the receiving entry.
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
  /// Queued requests of the class in this entry, including this one.
  std::uint32_t Waiting = 1;
  /// Slots reserved for more urgent classes, from
  /// AdmissionQueue::reservationAbove. As many slots of the home domain are
  /// left to those classes.
  std::uint32_t ReservationAbove = 0;
  /// Targets that earlier attempts of the request used.
  std::span<const TargetId> Tried;
};

enum class RouteReason : std::uint8_t {
  Home,
  Spilled,
  Probe,
  /// No target chosen: waiting for a home slot is expected to be faster than
  /// using another domain.
  WaitForHome,
  NoTarget,
  NotIdempotent,
  BudgetSpent
};

/// Returns the name of the reason in metrics and logs.
const char *toString(RouteReason Reason);

/// A target that a routing decision compared with others.
struct RouteCandidate {
  std::uint32_t Index = 0;
  std::uint32_t Domain = 0;
  std::uint32_t Busy = 0;
  std::uint32_t Limit = 0;
  double Slowdown = 1;
  double SuccessRate = 1;
  /// Estimated time to the reply, without extra delay.
  Duration Estimate{};
};

/// The outcome of a routing decision and its inputs.
struct RouteDecision {
  RouteReason Reason = RouteReason::NoTarget;
  std::optional<RouteCandidate> Home;
  std::optional<RouteCandidate> Remote;
  /// Estimated time to the reply in the home domain, including the wait.
  Duration HomeTime{};
  Duration ExtraDelay{};
  std::uint32_t HomeFree = 0;
  /// Free home slots left to more urgent classes.
  std::uint32_t KeepFreeAtHome = 0;
};

/// An attempt at a target, from onSent to its only outcome: onReply, onFailure
/// or onCancelled.
struct AttemptTicket {
  std::uint32_t Index = 0;
  std::uint32_t Generation = 0;
  WorkClass Class = WorkClass::Urgent;
  Occupancy Holds = Occupancy::Slot;
  bool Probe = false;
  /// Fraction of a slot that the attempt counts as.
  double Weight = 1;
  /// Slots in use at the target after this attempt was sent.
  std::uint32_t InFlight = 0;
  TimePoint SentAt{};
  /// RouteRequest::ExpectedService at the time of sending.
  Duration Expected{};
};

enum class FailureKind : std::uint8_t {
  /// The target replied with an error.
  Error,
  TimedOut,
  /// The link to the agent was lost; the target is ejected at once.
  LinkSilent,
  /// The agent had no free slot or connection. This does not count as a failure
  /// of the target.
  Full
};

/// Chooses a target for each attempt of one service.
///
/// Random targets of the entry's failure domain are compared by estimated time
/// to the reply. Another domain is used when the time saved exceeds its extra
/// delay. No target gets more attempts than it has slots or connections,
/// including those that it reports for other entries. An attempt at a target in
/// another domain counts as a fraction of a slot because of its transit time;
/// the target's agent enforces the slot limit. A failing target is ejected for
/// a time that doubles with each ejection, is readmitted by one successful
/// probe and then gets a gradually growing number of requests. Retries and
/// hedges need an idempotent request and available RetryBudget.
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

  /// Sets the round-trip time added by another domain. It is used until replies
  /// from the domain yield a measured delay, and again when replies cease.
  void setExtraDelay(const FailureDomainId &Domain, Duration Delay);

  /// Adds a target, or replaces one that has the same id. A \p Warm target
  /// takes full load at once, without slow start. Precondition: slots and
  /// connections are not 0.
  void addTarget(const TargetInfo &Info, TimePoint Now, bool Warm = false);

  /// Stops new attempts at a leaving or dead target. Attempts in flight may
  /// still report their outcome. Unknown ids are ignored.
  void removeTarget(const TargetId &Id, TimePoint Now);

  /// Chooses the target for one attempt, or std::nullopt. The attempt does not
  /// count until onSent.
  std::optional<TargetId> choose(const RouteRequest &Request, TimePoint Now);

  /// Counts an attempt at the target that choose returned last, and charges it
  /// to the budget if it is a retry or a hedge. Precondition: \p Id is that
  /// target and no target has been added or removed since.
  AttemptTicket onSent(const TargetId &Id, const RouteRequest &Request,
                       TimePoint Now);

  /// Ends an attempt that got its reply; for a session, when its stream ended.
  void onReply(const AttemptTicket &Ticket, const LoadReport &Load,
               TimePoint Now);

  /// Ends an attempt that failed.
  void onFailure(const AttemptTicket &Ticket, FailureKind Kind, TimePoint Now);

  /// Ends an attempt that was cancelled, without effect on the target's health.
  void onCancelled(const AttemptTicket &Ticket, TimePoint Now);

  /// The outcome and the inputs of the last call of choose.
  const RouteDecision &lastDecision() const { return LastDecision; }

  /// Describes the last call of choose in one log line.
  std::string explainLastDecision() const;

  /// Attempts that may be in flight at once, for AdmissionQueue::setCapacity.
  /// It increases with the attempts that are in transit.
  std::uint32_t capacity(Occupancy Holds) const;

  /// Fraction of the slots left to this router that its attempts occupy; 1 if
  /// there are none.
  double utilization() const;

  std::uint32_t targetCount() const { return Live; }
  std::uint32_t ejectedCount() const { return Ejected; }

  /// Attempts of this router that hold a slot of \p Id; 0 if unknown.
  std::uint32_t slotsInFlight(const TargetId &Id) const;
  /// Attempts of this router that hold a connection of \p Id; 0 if unknown.
  std::uint32_t connectionsInFlight(const TargetId &Id) const;

private:
  enum class TargetState : std::uint8_t { Removed, Serving, Ejected, Probing };

  static constexpr std::int32_t NoPosition = -1;

  struct Target {
    explicit Target(std::uint32_t Slots) : Concurrency(Slots) {}

    TargetInfo Info;
    std::uint32_t Domain = 0;
    std::uint32_t Generation = 0;
    TargetState State = TargetState::Serving;
    std::uint32_t OwnSlots = 0;
    std::array<std::uint32_t, WorkClassCount> OwnSlotsOf{};
    /// Sum of the weights of the attempts that hold OwnSlots.
    double Occupied = 0;
    std::uint32_t OwnConnections = 0;
    std::uint32_t OtherSlots = 0;
    std::uint32_t OtherConnections = 0;
    std::uint32_t ReportedQueue = 0;
    /// Contribution of this target to its domain's SlotsFree.
    std::uint32_t FreeSlots = 0;
    TimePoint ReportedAt{};
    /// Attempts that may be in flight, by what they hold.
    std::array<std::uint32_t, OccupancyCount> Limit{};
    /// Position in the domain's Available list.
    std::array<std::int32_t, OccupancyCount> AvailablePosition{NoPosition,
                                                               NoPosition};
    double Slowdown = 1;
    TimePoint SlowdownAt{};
    double SuccessRate = 1;
    std::uint32_t Attempts = 0;
    std::uint32_t ConsecutiveFailures = 0;
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
    Duration ConfiguredDelay{};
    double LearnedDelay = 0;
    std::optional<TimePoint> LearnedAt;
    /// Targets with free capacity, by what an attempt holds.
    std::array<std::vector<std::uint32_t>, OccupancyCount> Available;
    std::uint32_t SlotLimit = 0;
    std::uint32_t SlotsFree = 0;
  };

  std::uint32_t domainIndex(const FailureDomainId &Id);
  std::uint32_t allocateTarget(const TargetInfo &Info);
  void resetTarget(Target &T, const TargetInfo &Info);
  void updateLimits(std::uint32_t Index, TimePoint Now);
  std::uint32_t slotLimit(Target &T, TimePoint Now) const;
  void setAvailable(std::uint32_t Index, Occupancy Holds, bool IsAvailable);
  void scheduleRecheck(std::uint32_t Index, TimePoint At);
  void runRechecks(TimePoint Now);
  void recheck(std::uint32_t Index, TimePoint Now);
  void eject(std::uint32_t Index, TimePoint Now);
  void endEjection(std::uint32_t Index, TargetState Next, TimePoint Now);
  void releaseEjectedOverCap(TimePoint Now);
  bool mayEjectOneMore() const;
  std::optional<std::uint32_t> dueProbe(const RouteRequest &Request,
                                        TimePoint Now) const;
  RouteCandidate evaluate(std::uint32_t Index, const RouteRequest &Request,
                          TimePoint Now) const;
  std::optional<RouteCandidate>
  sampleBest(const Domain &From, const RouteRequest &Request, TimePoint Now);
  double slotWeight(const Domain &To, const RouteRequest &Request,
                    TimePoint Now) const;
  bool hasCapacity(const Target &T, const RouteRequest &Request,
                   double Weight) const;
  bool wasTried(std::uint32_t Index, const RouteRequest &Request) const;
  Duration extraDelay(const Domain &To, TimePoint Now) const;
  void sampleRemoteDomains(const RouteRequest &Request, TimePoint Now);
  TargetId selectTarget(RouteReason Reason, std::uint32_t Index);
  std::uint32_t keepFreeAtHome(const RouteRequest &Request) const;
  Target *findTarget(const AttemptTicket &Ticket);
  void releaseCapacity(Target &T, const AttemptTicket &Ticket);
  void updateLoad(Target &T, const LoadReport &Load, TimePoint Now);
  void updateSlowdown(Target &T, const AttemptTicket &Ticket,
                      const LoadReport &Load, TimePoint Now);

  RouterSettings Settings;
  RetryBudget &Budget;
  Random Rng;
  std::vector<Target> Targets;
  std::vector<std::uint32_t> FreeIndexes;
  std::unordered_map<TargetId, std::uint32_t> Indexes;
  std::vector<Domain> Domains;
  std::vector<std::uint32_t> Probing;
  /// Min-heap of the times at which a target's state or limits change without
  /// an event.
  std::vector<std::pair<TimePoint, std::uint32_t>> Rechecks;
  std::array<std::uint32_t, OccupancyCount> Capacity{};
  /// Sum of the weights of all attempts that hold slots, and their number.
  double Occupied = 0;
  std::uint32_t SlotsInUse = 0;
  /// Slots in the home domain that each class holds.
  std::array<std::uint32_t, WorkClassCount> HeldAtHome{};
  /// Number of targets, and of those ejected or being probed.
  std::uint32_t Live = 0;
  std::uint32_t Ejected = 0;
  RouteDecision LastDecision;
  std::uint32_t LastChosenIndex = 0;
};

} // namespace daisyspool

#endif // DAISYSPOOL_ROUTING_ROUTER_H
