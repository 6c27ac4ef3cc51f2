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

/// Which running tasks may give way to a task.
enum class EvictionScope : std::uint8_t {
  None,
  /// Batch of teams beyond their guarantee, for a team within its own.
  Borrowed,
  /// Reclaimable batch.
  Reclaimable,
  /// Any batch, reclaimable first.
  Batch
};

/// A task to place and what applies to it.
struct PlacementRequest {
  TaskSpec Spec;
  const PlacementRules *Rules = nullptr;
  EvictionScope MayEvict = EvictionScope::None;
  /// Workers on which the task failed before.
  std::span<const VmIndex> Avoid{};
};

/// The inputs of a placement decision.
struct PlacementReason {
  Dimension Scarce = Dimension::Cpu;
  Resources Declared;
  Resources Held;
  Resources FreeBefore;
  /// Observations behind a held size that differs from the declared one.
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
  /// Starts with few processors, because it would slow a service beside it.
  bool Throttled = false;
  PlacementReason Why;
};

enum class ReclaimStep : std::uint8_t { Throttle, Evict };

/// What one running task gives up; \p Held is what it keeps.
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
/// Batch leaves the urgent reserve free. Where it is expected to slow a
/// latency-critical task beyond a limit it starts throttled or not at all. When
/// nothing fits, running batch gives way: throttling first, then eviction of
/// the least lost work. A decision changes nothing; the caller applies it to
/// the FleetView.
///
/// Thread safety: one thread at a time.
class Placer {
public:
  struct Options {
    /// VMs that fit and are compared.
    std::uint32_t MaxCompared = 16;
    /// VMs whose cheapest victims are compared.
    std::uint32_t MaxEvictionsCompared = 16;
    /// Weight of a slowdown of 100% against a VM left wholly free.
    double InterferenceWeight = 2;
    /// Largest expected excess of a service, over all its neighbours, at which
    /// a kind that adds to it is still placed beside it.
    double MaxExcess = 0.4;
    /// Expected excess of one task that counts as noise.
    double MinExcess = 0.05;
    /// Part of its processors that a throttled task keeps.
    double ThrottledShare = 0.25;
    /// Weights of neighbours of the same group in VM, rack, failure domain.
    double VmSpread = 1;
    double RackSpread = 0.5;
    double DomainSpread = 0.25;
  };

  /// The collaborators outlive the placer; \p Noise and \p Quota may be null.
  Placer(Options Config, const UsageEstimator &Usage, UrgentReserve &Reserve,
         const interference::InterferenceModel *Noise,
         const quota::QuotaLedger *Quota)
      : Config(Config), Usage(Usage), Reserve(Reserve), Noise(Noise),
        Quota(Quota) {}
  Placer(const Placer &) = delete;
  Placer &operator=(const Placer &) = delete;

  /// The VM for a task. Never returns a placement that would commit a VM of
  /// \p Fleet beyond its resources.
  PlacementDecision place(const PlacementRequest &Request,
                          const FleetView &Fleet, TimePoint Now);

  /// What a task would hold if it were placed now.
  Resources holdFor(const TaskSpec &Spec) const;

  /// What a running task should hold. A guaranteed task holds the processors
  /// that it is expected to use and lends the rest of its declared size;
  /// memory is not lent, because only an eviction could take it back.
  Resources expectedHold(const TaskState &Of) const;

  /// What reclaimable tasks on \p Vm give up so that \p Needed more can be
  /// held there, for lenders whose use has grown. Empty if it is impossible
  /// or unnecessary.
  std::vector<Reclaim> reclaim(VmIndex Vm, const Resources &Needed,
                               const FleetView &Fleet, TimePoint Now) const;

private:
  struct Search;

  Resources heldSize(const TaskSpec &Spec, PlacementReason &Why) const;
  static Dimension scarceDimension(const Resources &Held,
                                   const FleetView &Fleet);
  bool permitted(const PlacementRequest &Request, const FleetView &Fleet,
                 VmIndex Vm) const;
  bool leavesReserve(const Search &In, VmIndex Vm, const Resources &Firm,
                     const Resources &Held) const;
  enum class Noisiness : std::uint8_t { Quiet, QuietIfThrottled, Loud };
  Noisiness noisiness(const Search &In, VmIndex Vm, double &Excess) const;
  double excessOfService(const Search &In, VmIndex Vm) const;
  double presentExcess(KindIndex Service, const Search &In, VmIndex Vm) const;
  Resources throttled(Resources Held) const;
  double spreadPenalty(const TaskSpec &Spec, const FleetView &Fleet,
                       VmIndex Vm) const;
  void compareFitting(Search &In, VmIndex Vm);
  PlacementDecision placeByEviction(Search &In);
  void compareReclaims(Search &In, VmIndex Vm);
  std::vector<Reclaim> victims(const Search &In, VmIndex Vm) const;
  std::vector<Reclaim> throttles(const Search &In, VmIndex Vm) const;
  bool mayEvict(const Search &In, const TaskState &Of) const;
  bool inReturnableDebt(const Search &In, const TaskState &Of,
                        std::span<const Reclaim> Chosen) const;

  Options Config;
  const UsageEstimator &Usage;
  UrgentReserve &Reserve;
  const interference::InterferenceModel *Noise;
  const quota::QuotaLedger *Quota;
  std::size_t Turn = 0;
};

} // namespace daisyspool::placement

#endif // DAISYSPOOL_PLACEMENT_PLACER_H
