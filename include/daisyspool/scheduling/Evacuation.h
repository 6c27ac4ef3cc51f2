#ifndef DAISYSPOOL_SCHEDULING_EVACUATION_H
#define DAISYSPOOL_SCHEDULING_EVACUATION_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/scheduling/VmState.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace daisyspool::scheduling {

/// Failure domains in which the operator forbids starts.
using EvacuatedDomains = std::set<FailureDomainId>;

/// The operator's evacuations as one process knows them, and how old that
/// knowledge may be for starts to be ordered by it.
///
/// Thread safety: one thread at a time. Does no I/O; time is a parameter.
class Evacuation {
public:
  struct Change {
    FailureDomainId Domain;
    /// How long this process has known of an evacuation that has ended; empty
    /// for one that began.
    std::optional<Millis> EndedAfter;
  };

  /// \p Bound is how long after an evacuation was ordered tasks may still be
  /// started there; 0 if nobody relies on one.
  explicit Evacuation(Millis Bound) : Bound(Bound) {}

  /// Replaces the evacuated domains and returns what has changed.
  std::vector<Change> replace(const EvacuatedDomains &Next, TimePoint Now);

  EvacuatedDomains domains() const;

  /// The age of the operator's orders, as known here, beyond which no start may
  /// be ordered; nothing without a bound.
  std::optional<Millis> maxAge() const;

  /// Whether starts have to wait for newer orders of the operator, as all that
  /// are known are those ordered more than \p Age ago.
  ///
  /// Load pattern: the change feed does not reach the leader, or a new leader
  /// has not read the orders yet, while tasks queue up.
  bool areStartsHeld(Millis Age) const;

private:
  Millis Bound;
  /// When this process learned of each evacuation.
  std::map<FailureDomainId, TimePoint> Since;
};

/// Whether \p Vm is in one of \p Domains. A VM of which no worker was ever seen
/// counts as being in any.
bool isEvacuated(const VmState &Vm, const EvacuatedDomains &Domains);

/// Whether a run on an evacuated VM has to be stopped, as it might start there
/// late. What the worker has listed goes on: the operator forbids starts only.
///
/// Load pattern: a domain is evacuated while hundreds of tasks are on their way
/// to its workers.
bool isLateStart(const VmState &Vm, const Assignment &Run);

} // namespace daisyspool::scheduling

#endif // DAISYSPOOL_SCHEDULING_EVACUATION_H
