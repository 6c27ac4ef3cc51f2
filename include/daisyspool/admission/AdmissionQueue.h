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

/// What a team may use. The weight is relative to the class's other teams.
struct TeamQuota {
  double Weight = 1;
  std::uint32_t MaxRunning = std::numeric_limits<std::uint32_t>::max();
  std::uint32_t MaxQueued = std::numeric_limits<std::uint32_t>::max();
};

struct ClassPolicy {
  /// Guaranteed part of the capacity; the shares of all classes sum to 1.
  double Share = 0;
  /// Used until service times have been observed.
  Duration InitialService{};
  std::uint32_t MaxQueued = 0;
  /// Free slots kept for the class beyond its mean demand, in square roots of
  /// that demand, within its guaranteed share. Without a value none are kept;
  /// a class whose deadlines allow it to wait for a slot needs none.
  std::optional<double> ReserveDeviations;
};

struct AdmissionSettings {
  std::array<ClassPolicy, WorkClassCount> Classes{
      ClassPolicy{0.5, Millis(20), 4096, 0.7},
      ClassPolicy{0.2, Millis(20), 1024, {}},
      ClassPolicy{0.2, Millis(500), 1024, {}},
      ClassPolicy{0.1, Millis(500), 4096, {}}};
  /// The part of service times that a deadline must leave room for.
  double ServiceQuantile = 0.9999;
  /// The same while slots are idle, when a refusal saves nothing.
  double IdleServiceQuantile = 0.99;
  /// A class whose estimate refuses everything gets one request through at
  /// this interval. Its estimate could never improve otherwise.
  Duration SampleInterval = Millis(100);
  /// Time in which a learned service time loses half of its weight.
  Duration EstimateHalfLife = std::chrono::seconds(10);
  /// The part of a request's slack that it may be expected to wait. In an
  /// overload a longer queue only delays every answer to its deadline, which
  /// leaves no room for an unusually slow one.
  double WaitPart = 0.25;
  /// How long demand is remembered.
  Duration DemandWindow = std::chrono::seconds(5);
  /// Teams without an account of their own beyond this share one.
  std::uint32_t MaxTeams = 256;
};

/// One request that asks to run. The key is the caller's own.
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

/// A request that the queue has let go. Pass it back to onDone or restore.
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

/// What an admission decision was based on.
struct AdmissionInputs {
  WorkClass Class = WorkClass::Batch;
  Duration Remaining{};
  Duration EstimatedWait{};
  Duration EstimatedService{};
  /// Admitted in spite of the estimate, to correct it.
  bool Sample = false;
  std::uint32_t QueuedInTeam = 0;
  std::uint32_t QueuedInClass = 0;
  std::uint32_t Running = 0;
  std::uint32_t Capacity = 0;
  std::uint32_t Reserved = 0;
};

enum class RefusalReason {
  /// The deadline cannot be met given estimated wait and service time.
  Late,
  /// The deadline became infeasible while the request was queued.
  LateInQueue,
  ClassFull,
  /// Removed to make room for a team with a shorter queue.
  Displaced,
  OverQuota,
  NoCapacity
};

/// The reason's name in problem documents, metrics and logs.
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

/// One line that explains \p Decision, for logs and the explain command.
std::string explain(const AdmissionDecision &Decision);

/// Decides which requests of one service run, wait or are refused.
///
/// Capacity is divided between classes, then between the teams of a class, by
/// weighted deficit: each account is charged the service time it uses divided
/// by its weight, and the account furthest behind goes next. An account that
/// had nothing to run starts level with the others, so idle share is lent and
/// not saved. Within a team the earliest feasible deadline goes first.
///
/// Use one queue per service in an entry, beside that service's Router, whose
/// capacity() it takes. Deadlines arrive as remaining durations and are kept
/// on this process's clock. Times passed in must not go backwards.
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

  /// Decides at once. Admitted means that the request holds capacity and must
  /// be followed by onDone or restore; Refused is final.
  AdmissionDecision offer(const Work &Request, TimePoint Now);

  /// The next request of the classes \p Eligible that may run now. It holds
  /// capacity until onDone or restore.
  std::optional<Dispatch> next(TimePoint Now,
                               ClassSet Eligible = ClassSet::all());

  /// Returns a request that found no target. Its charge is undone.
  void restore(const Dispatch &Unsent, TimePoint Now);

  /// Ends a request. \p Total is the time from dispatch to the answer, and
  /// \p AtTarget the part without the network, or \p Total if unknown. Both
  /// are learned only if the request \p Succeeded, since failures may be quick.
  void onDone(const Dispatch &Ended, Duration Total, Duration AtTarget,
              bool Succeeded);

  /// Refuses queued requests whose deadline has become infeasible, and lets
  /// old observations fade. Call about once a millisecond; collect the refusals
  /// with nextRefused.
  void dropLate(TimePoint Now);

  /// A request refused after it was queued; each is returned once.
  std::optional<Refused> nextRefused();

  std::uint32_t queued(WorkClass Class) const;
  std::uint32_t running(WorkClass Class) const;

  /// Slots kept free for classes more urgent than \p Class.
  std::uint32_t reservedAbove(WorkClass Class) const;

  /// Slots reserved for classes more urgent than \p Class, both free slots and
  /// those that these classes hold.
  std::uint32_t reservationAbove(WorkClass Class) const;

  /// Mean time at the target.
  Duration expectedService(WorkClass Class) const;

private:
  struct Entry {
    TimePoint Deadline;
    std::uint64_t Key;
    bool Attempted;
  };

  struct Account {
    std::vector<Entry> Heap;
    double Virtual = 0;
    std::uint32_t Running = 0;
    /// Place in the list of accounts with queued work; -1 when absent.
    std::int32_t ActiveIndex = -1;
    TimePoint LatestDeadline{};
  };

  struct Lane {
    std::vector<Account> Teams;
    std::vector<std::uint32_t> Active;
    double Virtual = 0;
    double TeamClock = 0;
    std::uint32_t Queued = 0;
    std::uint32_t Running = 0;
    /// Mean number of slots that offered work would hold.
    double Demand = 0;
    TimePoint DemandAt{};
  };

  struct Pool {
    std::array<Lane, WorkClassCount> Lanes;
    double Clock = 0;
    std::uint32_t Capacity = 0;
    std::uint32_t Running = 0;
  };

  struct Learned {
    /// Times from dispatch to answer.
    DurationHistogram Totals;
    /// Mean time at the target, which the state of the network does not change.
    Duration Mean;
    Duration High;
    Duration IdleHigh;
    TimePoint StartedAt{};
    TimePoint FadedAt{};
    std::uint64_t Samples = 0;
  };

  std::uint32_t teamIndex(const TeamId &Team);
  Pool &poolOf(Occupancy Holds);
  Lane &laneOf(Pool &In, WorkClass Class);
  Account &accountOf(Lane &In, std::uint32_t TeamIndex);
  const Learned &learned(WorkClass Class) const;

  void updateQuantiles(Learned &Known) const;
  void noteDemand(Lane &In, WorkClass Class, TimePoint Now);
  void decayDemand(Lane &In, TimePoint Now);
  Duration estimateWait(const Pool &In, WorkClass Class, const Account &Team,
                        std::uint32_t TeamIndex, TimePoint Deadline) const;
  double keptFor(const Pool &In, WorkClass Class) const;
  std::uint32_t reservedAbove(const Pool &In, WorkClass Class) const;
  bool mayStart(const Pool &In, Occupancy Holds, WorkClass Class) const;
  AdmissionInputs inputs(const Pool &In, const Work &Request,
                         Duration Wait) const;
  Dispatch start(Pool &In, const Entry &Request, WorkClass Class,
                 Occupancy Holds, std::uint32_t TeamIndex, TimePoint Now);
  void push(Pool &In, WorkClass Class, std::uint32_t TeamIndex, Entry Item);
  Entry popEarliest(Lane &In, std::uint32_t TeamIndex);
  void deactivate(Lane &In, std::uint32_t TeamIndex);
  bool makeRoom(Lane &In, WorkClass Class, std::uint32_t TeamIndex);
  bool feasible(const Entry &Item, WorkClass Class, Occupancy Holds,
                TimePoint Now) const;
  void refuse(const Entry &Item, WorkClass Class, RefusalReason Reason,
              Duration Remaining);
  std::optional<std::uint32_t> pickTeam(const Lane &In) const;
  std::optional<Dispatch> nextFrom(Occupancy Holds, TimePoint Now,
                                   ClassSet Eligible);

  AdmissionSettings Settings;
  std::unordered_map<TeamId, std::uint32_t> TeamIndexes;
  std::vector<TeamQuota> Quotas;
  std::array<Pool, OccupancyCount> Pools;
  std::vector<Learned> Services;
  std::deque<Refused> PendingRefusals;
};

} // namespace daisyspool

#endif // DAISYSPOOL_ADMISSION_ADMISSIONQUEUE_H
