#ifndef DAISYSPOOL_AGENT_ATTEMPTLOG_H
#define DAISYSPOOL_AGENT_ATTEMPTLOG_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Ids.h"
#include "daisyspool/wire/Messages.h"

#include <compare>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <variant>

namespace daisyspool {

/// Names one attempt across all entries and their restarts.
struct AttemptKey {
  ProcessId Origin;
  Incarnation OriginIncarnation;
  wire::AttemptId Attempt;

  auto operator<=>(const AttemptKey &) const = default;
};

/// Remembers the non-idempotent attempts of this agent incarnation, so that
/// none is run twice and a lost answer can be asked for again.
///
/// Use begin() before an attempt is run and finish() with its answer. An
/// attempt that is asked for before it arrived is barred for good.
///
/// Thread safety: one thread at a time.
class AttemptLog {
public:
  struct Running {};
  struct Finished {
    wire::ServeReply Answer;
  };
  /// Asked for before it arrived; it must never run.
  struct Barred {};
  using State = std::variant<Running, Finished, Barred>;

  /// \p Retention is how long a finished or barred attempt is remembered. It
  /// must exceed the time that a message can spend on its way.
  explicit AttemptLog(Duration Retention) : Retention(Retention) {}
  AttemptLog(const AttemptLog &) = delete;
  AttemptLog &operator=(const AttemptLog &) = delete;

  /// Returns true if the attempt is new and may be run now.
  bool begin(const AttemptKey &Key);

  /// Records the answer. Precondition: begin() returned true for \p Key.
  void finish(const AttemptKey &Key, wire::ServeReply Answer, TimePoint Now);

  /// Returns what is known; an unknown attempt is barred and returned as such.
  State query(const AttemptKey &Key, TimePoint Now);

  /// Forgets what is older than the retention.
  void expire(TimePoint Now);

  std::size_t size() const { return Attempts.size(); }

private:
  struct Expiry {
    TimePoint At;
    AttemptKey Key;
  };

  Duration Retention;
  std::map<AttemptKey, State> Attempts;
  std::deque<Expiry> Expiries;
};

} // namespace daisyspool

#endif // DAISYSPOOL_AGENT_ATTEMPTLOG_H
