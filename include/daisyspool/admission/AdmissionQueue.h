#ifndef DAISYSPOOL_ADMISSION_ADMISSIONQUEUE_H
#define DAISYSPOOL_ADMISSION_ADMISSIONQUEUE_H

#include "daisyspool/admission/DurationHistogram.h"
#include "daisyspool/admission/WorkClass.h"
#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Errors.h"
#include "daisyspool/core/Ids.h"

#include <array>
#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace daisyspool {

/// Weight and limits of a team. The weight is relative to the other teams of a
/// class.
struct TeamQuota {
  double Weight = 1;
  std::uint32_t MaxRunning = std::numeric_limits<std::uint32_t>::max();
  std::uint32_t MaxQueued = std::numeric_limits<std::uint32_t>::max();
};

struct ClassPolicy {
  /// Guaranteed fraction of the capacity; the shares of all classes sum to 1.
  double Share = 0;
  /// Estimated service time until enough service times have been observed.
  Duration InitialService{};
  std::uint32_t MaxQueued = 0;
  /// Slots reserved for the class beyond its mean demand, in units of the
  /// square root of that demand. The reservation is limited to the guaranteed
  /// share. Without a value no slots are reserved, for classes whose deadlines
  /// allow requests to wait for a slot.
  std::optional<double> ReserveDeviations;
};

struct AdmissionSettings {
  std::array<ClassPolicy, WorkClassCount> Classes{
      ClassPolicy{0.5, Millis(20), 4096, 0.7},
      ClassPolicy{0.2, Millis(20), 1024, {}},
      ClassPolicy{0.2, Millis(500), 1024, {}},
      ClassPolicy{0.1, Millis(500), 4096, {}}};
  /// Quantile of the service times that must fit before a deadline.
  double ServiceQuantile = 0.9999;
  /// The same while slots are idle, when a refusal saves no capacity.
  double IdleServiceQuantile = 0.99;
  /// Interval at which a class admits one request although its estimate refuses
  /// every request. Without these samples the estimate could never improve.
  Duration SampleInterval = Millis(100);
  /// Time in which an observed service time loses half of its weight.
  Duration EstimateHalfLife = std::chrono::seconds(10);
  /// Maximum fraction of its slack that a request may be expected to wait. In
  /// an overload, a longer queue only delays every reply to just before its
  /// deadline, which leaves no margin for an unusually slow one.
  double WaitPart = 0.25;
  /// Time constant of the exponential average of demand.
  Duration DemandWindow = std::chrono::seconds(5);
  /// Maximum number of team queues per class, including the one that all teams
  /// beyond the limit share.
  std::uint32_t MaxTeams = 256;
};

/// A request that asks to run. The key identifies it to the caller and is not
/// interpreted.
struct Work {
  std::uint64_t Key = 0;
  WorkClass Class = WorkClass::Batch;
  TeamId Team;
  /// Time left until the deadline.
  Duration Remaining{};
  Occupancy Holds = Occupancy::Slot;
  /// True if an earlier attempt may have run, so that a refusal must not say
  /// that the request was not run.
  bool Attempted = false;
};

/// A request that the queue released to run. It must be passed to onDone or
/// restore.
struct Dispatch {
  std::uint64_t Key = 0;
  WorkClass Class = WorkClass::Batch;
  Occupancy Holds = Occupancy::Slot;
  bool Attempted = false;
  std::uint32_t TeamIndex = 0;
  /// Time left until the deadline at the moment of dispatch.
  Duration Remaining{};
  TimePoint Deadline{};
  /// Service time charged to the class and team in advance.
  Duration Charged{};
};

/// The inputs of an admission decision.
struct AdmissionInputs {
  WorkClass Class = WorkClass::Batch;
  Duration Remaining{};
  Duration EstimatedWait{};
  Duration EstimatedService{};
  /// Admitted despite the estimate, as a sample that corrects it.
  bool Sample = false;
  std::uint32_t QueuedInTeam = 0;
  std::uint32_t QueuedInClass = 0;
  std::uint32_t Running = 0;
  std::uint32_t Capacity = 0;
  std::uint32_t Reserved = 0;
};

enum class RefusalReason {
  /// The deadline is infeasible given the estimated wait and service time.
  Late,
  /// The deadline became infeasible while the request was queued.
  LateInQueue,
  ClassFull,
  /// Removed to make room for a team with a shorter queue.
  Displaced,
  OverQuota,
  NoCapacity
};

/// Returns the name of the reason in problem documents, metrics and logs.
const char *toString(RefusalReason Reason);

struct Admitted {
  Dispatch Start;
  AdmissionInputs Inputs;
};

struct Queued {
  AdmissionInputs Inputs;
};

struct Refused {
  std::uint64_t Key = 0;
  RefusalReason Reason = RefusalReason::Late;
  Execution Executed = Execution::NotRun;
  AdmissionInputs Inputs;
};

using AdmissionDecision = std::variant<Admitted, Queued, Refused>;

/// Describes \p Decision in one line, for logs and the explain command.
std::string explain(const AdmissionDecision &Decision);

/// Decides which requests of one service run, wait or are refused.
///
/// Capacity is divided by weighted fair queueing, first between classes and
/// then between the teams of a class. The virtual time of each queue advances
/// by the service time it uses divided by its weight, and the queue with the
/// lowest virtual time goes next. A queue that was empty resumes at the current
/// virtual time, so that other queues use its idle share and it accumulates no
/// credit. Within a team the earliest feasible deadline goes first.
///
/// Use one queue per service in an entry, together with the Router of the
/// service, whose capacity() is passed to setCapacity. Deadlines are passed as
/// remaining durations and stored as times of this process's clock. Times
/// passed in must not go backwards.
///
/// Memory is bounded by the classes' MaxQueued and by MaxTeams.
/// Thread safety: one thread at a time.
class AdmissionQueue {
public:
  explicit AdmissionQueue(AdmissionSettings Settings);
  AdmissionQueue(const AdmissionQueue &) = delete;
  AdmissionQueue &operator=(const AdmissionQueue &) = delete;

  /// Sets a team's quota; it applies from the next decision on.
  void setQuota(const TeamId &Team, TeamQuota Quota);

  /// Sets how many requests may run at once. Running requests are unaffected.
  void setCapacity(Occupancy Holds, std::uint32_t Capacity);

  /// Admits, queues or refuses a request. An admitted request holds capacity
  /// until onDone or restore; a refusal is final.
  AdmissionDecision offer(const Work &Request, TimePoint Now);

  /// Returns the next queued request of the classes \p Eligible that may run
  /// now. It holds capacity until onDone or restore.
  std::optional<Dispatch> next(TimePoint Now,
                               ClassSet Eligible = ClassSet::all());

  /// Requeues a request for which there was no target and refunds its charge.
  void restore(const Dispatch &Unsent, TimePoint Now);

  /// Ends a request. \p Total is the time from dispatch to the reply, and
  /// \p AtTarget the same without the network, or \p Total if unknown. Both
  /// are recorded only if the request \p Succeeded, since failures may be
  /// quick.
  void onDone(const Dispatch &Ended, Duration Total, Duration AtTarget,
              bool Succeeded);

  /// Refuses queued requests whose deadline has become infeasible, and decays
  /// old observations. Call about once a millisecond; collect the refusals with
  /// nextRefused.
  void dropLate(TimePoint Now);

  /// Returns the next request that was refused after it was queued. Each is
  /// returned once.
  std::optional<Refused> nextRefused();

  std::uint32_t queued(WorkClass Class) const;
  std::uint32_t running(WorkClass Class) const;

  /// Free slots reserved for classes more urgent than \p Class.
  std::uint32_t unusedReservationAbove(WorkClass Class) const;

  /// Slots reserved for classes more urgent than \p Class, both free slots and
  /// those that these classes hold.
  std::uint32_t reservationAbove(WorkClass Class) const;

  /// Mean time at the target of requests of the class.
  Duration expectedService(WorkClass Class) const;

private:
  struct QueuedWork {
    TimePoint Deadline;
    std::uint64_t Key;
    bool Attempted;
  };

  struct TeamQueue {
    std::vector<QueuedWork> Heap;
    double VirtualTime = 0;
    std::uint32_t Running = 0;
    /// Position in ClassQueue::ActiveTeams; -1 without queued work.
    std::int32_t ActiveIndex = -1;
    TimePoint LatestDeadline{};
  };

  struct ClassQueue {
    std::vector<TeamQueue> Teams;
    /// Indexes of the teams with queued work.
    std::vector<std::uint32_t> ActiveTeams;
    double VirtualTime = 0;
    double TeamVirtualClock = 0;
    std::uint32_t Queued = 0;
    std::uint32_t Running = 0;
    /// Mean number of slots that the offered requests would hold.
    double Demand = 0;
    TimePoint DemandAt{};
  };

  struct CapacityPool {
    std::array<ClassQueue, WorkClassCount> ClassQueues;
    double VirtualClock = 0;
    std::uint32_t Capacity = 0;
    std::uint32_t Running = 0;
  };

  struct ServiceStats {
    /// Times from dispatch to reply.
    DurationHistogram Totals;
    /// Mean time at the target, which does not depend on the network.
    Duration MeanAtTarget;
    /// ServiceQuantile and IdleServiceQuantile of Totals.
    Duration HighTotal;
    Duration IdleHighTotal;
    TimePoint StartedAt{};
    TimePoint DecayedAt{};
    std::uint64_t Samples = 0;
  };

  std::uint32_t teamIndex(const TeamId &Team);
  CapacityPool &poolOf(Occupancy Holds);
  ClassQueue &classQueueOf(CapacityPool &Pool, WorkClass Class);
  TeamQueue &teamQueueOf(ClassQueue &Queue, std::uint32_t TeamIndex);
  const ServiceStats &serviceStats(WorkClass Class) const;

  void updateQuantiles(ServiceStats &Stats) const;
  void addDemand(ClassQueue &Queue, WorkClass Class, TimePoint Now);
  void decayDemand(ClassQueue &Queue, TimePoint Now);
  Duration estimateWait(const CapacityPool &Pool, WorkClass Class,
                        const TeamQueue &Team, std::uint32_t TeamIndex,
                        TimePoint Deadline) const;
  double reservationFor(const CapacityPool &Pool, WorkClass Class) const;
  std::uint32_t unusedReservationAbove(const CapacityPool &Pool,
                                       WorkClass Class) const;
  bool mayStart(const CapacityPool &Pool, Occupancy Holds,
                WorkClass Class) const;
  AdmissionInputs makeInputs(const CapacityPool &Pool, const Work &Request,
                             Duration Wait) const;
  Dispatch startWork(CapacityPool &Pool, const QueuedWork &Request,
                     WorkClass Class, Occupancy Holds, std::uint32_t TeamIndex,
                     TimePoint Now);
  void enqueue(CapacityPool &Pool, WorkClass Class, std::uint32_t TeamIndex,
               QueuedWork Item);
  QueuedWork popEarliest(ClassQueue &Queue, std::uint32_t TeamIndex);
  void removeActiveTeam(ClassQueue &Queue, std::uint32_t TeamIndex);
  bool makeRoom(ClassQueue &Queue, WorkClass Class, std::uint32_t TeamIndex);
  bool isFeasible(const QueuedWork &Item, WorkClass Class, Occupancy Holds,
                  TimePoint Now) const;
  void addRefusal(const QueuedWork &Item, WorkClass Class, RefusalReason Reason,
                  Duration Remaining);
  std::optional<std::uint32_t> pickTeam(const ClassQueue &Queue) const;
  std::optional<Dispatch> nextFromPool(Occupancy Holds, TimePoint Now,
                                       ClassSet Eligible);

  AdmissionSettings Settings;
  std::unordered_map<TeamId, std::uint32_t> TeamIndexes;
  std::vector<TeamQuota> Quotas;
  std::array<CapacityPool, OccupancyCount> Pools;
  std::vector<ServiceStats> StatsByClass;
  std::deque<Refused> PendingRefusals;
};

} // namespace daisyspool

#endif // DAISYSPOOL_ADMISSION_ADMISSIONQUEUE_H
