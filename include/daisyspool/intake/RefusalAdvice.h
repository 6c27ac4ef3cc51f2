#ifndef DAISYSPOOL_INTAKE_REFUSALADVICE_H
#define DAISYSPOOL_INTAKE_REFUSALADVICE_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Ids.h"

#include <deque>
#include <optional>

namespace daisyspool::intake {

/// Decides when a caller may retry that an entry refuses because the store does
/// not serve it.
///
/// Load pattern: the store turns some entries away, and retries reach others.
/// A caller then loses least by retrying at once. While the store serves no
/// entry, retries without delay would be used up before it recovers; this shows
/// by jobs that come back to the entry that refused them.
///
/// Thread safety: for one thread only.
class RefusalAdvice {
public:
  /// Records that a submission of \p Job is refused at \p Now and returns the
  /// delay to advise, in whole seconds.
  Millis onRefused(const JobId &Job, TimePoint Now);

  /// The delay to advise to requests that change nothing.
  Millis retryAfter(TimePoint Now) const;

private:
  struct Refusal {
    JobId Job;
    TimePoint At{};
  };

  /// Newest last.
  std::deque<Refusal> Recent;
  /// When a refused job last came back.
  std::optional<TimePoint> ReturnedAt;
};

} // namespace daisyspool::intake

#endif // DAISYSPOOL_INTAKE_REFUSALADVICE_H
