#ifndef DAISYSPOOL_PLACEMENT_PLACER_H
#define DAISYSPOOL_PLACEMENT_PLACER_H

#include "daisyspool/interference/InterferenceModel.h"
#include "daisyspool/placement/FleetView.h"
#include "daisyspool/placement/Rules.h"
#include "daisyspool/placement/UrgentReserve.h"
#include "daisyspool/placement/UsageEstimator.h"
#include "daisyspool/quota/QuotaLedger.h"

#include <cstdint>
#include <span>
#include <variant>
#include <vector>

namespace daisyspool::placement {

/// Which running tasks may be throttled or evicted to make room for a task.
enum class EvictionScope : std::uint8_t {
  None,
  /// Batch of teams beyond their guarantee, for a team within its own.
  Borrowed,
  /// Reclaimable batch.
  Reclaimable,
  /// Any batch, reclaimable first.
  Batch
};

/// A task to place, with its rules and eviction rights.
struct PlacementRequest {
  TaskSpec Spec;
  const PlacementRules *Rules = nullptr;
  EvictionScope MayEvict = EvictionScope::None;
  /// VMs on which the task failed before.
  std::span<const VmIndex> Avoid{};
};

/// The inputs of a placement decision.
struct PlacementReason {
  Dimension Scarce = Dimension::Cpu;
  Resources Declared;
  Resources Held;
  Resources FreeBefore;
  /// Number of observations from which a held size was estimated that differs
  /// from the declared one.
  std::uint32_t Observations = 0;
  std::uint32_t Examined = 0;
  std::uint32_t Compared = 0;
  std::uint32_t RejectedBySize = 0;
  std::uint32_t RejectedByRules = 0;
  std::uint32_t RejectedByReserve = 0;
  std::uint32_t RejectedByInterference = 0;
  double Leftover = 0;
  double Spread = 0;
  double PredictedExcess = 0;
  double LostWork = 0;
  std::int64_t ReadySlots = 0;
  std::int64_t ReservedSlots = 0;
};

struct Placement {
  VmIndex Vm;
  Resources Held;
  /// Starts with a reduced share of its processors, because at full speed it
  /// would slow a service on the same VM.
  bool Throttled = false;
  PlacementReason Why;
};

enum class ReclaimStep : std::uint8_t { Throttle, Evict };

/// The throttling or eviction of one running task; \p Held is what it keeps.
struct Reclaim {
  TaskIndex Task;
  ReclaimStep Do = ReclaimStep::Throttle;
  Resources Held;
  double LostWork = 0;
};

/// The task fits once every reclaim is carried out.
struct PlacementAfterEviction {
  VmIndex Vm;
  Resources Held;
  bool Throttled = false;
  std::vector<Reclaim> Reclaims;
  PlacementReason Why;
};

enum class NoRoomCause : std::uint8_t { Size, Rules, Reserve, Interference };

struct NoRoom {
  NoRoomCause Cause = NoRoomCause::Size;
  PlacementReason Why;
};

using PlacementDecision =
    std::variant<Placement, PlacementAfterEviction, NoRoom>;

/// Chooses the VM of a task: best fit on the scarce dimension among a bounded
/// number of VMs that fit, found through the fleet's indexes.
///
/// Batch tasks leave the urgent reserve free. Where one is expected to slow a
/// latency-critical task beyond a limit it starts throttled or not at all. When
/// no VM has room, running batch tasks are throttled or, if that is not enough,
/// evicted in order of the least lost work. A decision changes nothing; the
/// caller applies it to the FleetView.
///
/// Thread safety: one thread at a time.
class Placer {
public:
  struct Options {
    /// Maximum number of fitting VMs that are compared.
    std::uint32_t MaxCompared = 16;
    /// Maximum number of VMs whose reclaims are compared.
    std::uint32_t MaxEvictionsCompared = 16;
    /// Score of an expected slowdown of 100%. A VM that would be left entirely
    /// free scores 1.
    double InterferenceWeight = 2;
    /// Largest expected slowdown of a service beyond 1, summed over all its
    /// neighbours, at which a kind that adds to it is still placed on its VM.
    double MaxExcess = 0.4;
    /// Smallest expected excess of one task that counts as interference.
    double MinExcess = 0.05;
    /// Fraction of its processors that a throttled task keeps.
    double ThrottledShare = 0.25;
    /// Penalties for each task of the same group on the same VM, rack and
    /// failure domain.
    double VmSpread = 1;
    double RackSpread = 0.5;
    double DomainSpread = 0.25;
  };

  /// The collaborators outlive the placer; \p Interference and \p Quota may be
  /// null.
  Placer(Options Config, const UsageEstimator &Usage, UrgentReserve &Reserve,
         const interference::InterferenceModel *Interference,
         const quota::QuotaLedger *Quota)
      : Config(Config), Usage(Usage), Reserve(Reserve),
        Interference(Interference), Quota(Quota) {}
  Placer(const Placer &) = delete;
  Placer &operator=(const Placer &) = delete;

  /// Chooses a VM for a task. Never returns a placement that would commit a VM
  /// of \p Fleet beyond its resources.
  PlacementDecision place(const PlacementRequest &Request,
                          const FleetView &Fleet, TimePoint Now);

  /// The resources that a task would hold if it were placed now.
  Resources holdFor(const TaskSpec &Spec) const;

  /// The resources that a running task should hold. A guaranteed task holds the
  /// processors that it is expected to use and lends the rest of its declared
  /// size; memory is not lent, because only an eviction could take it back.
  Resources expectedHold(const TaskState &State) const;

  /// The throttles or evictions of reclaimable tasks that free \p Needed on
  /// \p Vm for guaranteed tasks whose use has grown. Empty if that is
  /// impossible or unnecessary.
  std::vector<Reclaim> reclaim(VmIndex Vm, const Resources &Needed,
                               const FleetView &Fleet, TimePoint Now) const;

private:
  struct Search;

  Resources heldSize(const TaskSpec &Spec, PlacementReason &Why) const;
  static Dimension scarceDimension(const Resources &Held,
                                   const FleetView &Fleet);
  bool isPermitted(const PlacementRequest &Request, const FleetView &Fleet,
                   VmIndex Vm) const;
  bool leavesReserve(const Search &Context, VmIndex Vm, const Resources &Firm,
                     const Resources &Held) const;
  enum class InterferenceLevel : std::uint8_t {
    Acceptable,
    AcceptableIfThrottled,
    Excessive
  };
  InterferenceLevel interferenceLevel(const Search &Context, VmIndex Vm,
                                      double &Excess) const;
  double excessForService(const Search &Context, VmIndex Vm) const;
  double presentExcess(KindIndex Service, const Search &Context,
                       VmIndex Vm) const;
  Resources throttled(Resources Held) const;
  double spreadPenalty(const TaskSpec &Spec, const FleetView &Fleet,
                       VmIndex Vm) const;
  void evaluateCandidate(Search &Context, VmIndex Vm);
  PlacementDecision placeByEviction(Search &Context);
  void evaluateReclaims(Search &Context, VmIndex Vm);
  std::vector<Reclaim> selectVictims(const Search &Context, VmIndex Vm) const;
  std::vector<Reclaim> selectThrottles(const Search &Context, VmIndex Vm) const;
  bool mayEvict(const Search &Context, const TaskState &State) const;
  bool quotaAllowsEviction(const Search &Context, const TaskState &State,
                           std::span<const Reclaim> Chosen) const;

  Options Config;
  const UsageEstimator &Usage;
  UrgentReserve &Reserve;
  const interference::InterferenceModel *Interference;
  const quota::QuotaLedger *Quota;
  std::size_t Rotation = 0;
};

} // namespace daisyspool::placement

#endif // DAISYSPOOL_PLACEMENT_PLACER_H
