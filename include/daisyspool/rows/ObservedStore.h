#ifndef DAISYSPOOL_ROWS_OBSERVEDSTORE_H
#define DAISYSPOOL_ROWS_OBSERVEDSTORE_H

#include "daisyspool/rows/RowStore.h"
#include "daisyspool/rows/StoreAccess.h"

#include <memory>

namespace daisyspool::rows {

/// Passes all calls to another store and records in a StoreAccess whether they
/// were answered, before the caller learns it. Logs when access is lost and
/// regained.
///
/// Thread safety: as RowStore. Calls in progress may outlive this object, but
/// not the store that they were passed to.
class ObservedStore final : public RowStore {
public:
  /// \p Time and \p Backend must outlive this object and its calls.
  ObservedStore(const Clock &Time, RowStore &Backend)
      : Time(Time), Backend(Backend), State(std::make_shared<Observation>()) {}

  /// The view that all calls through this object have formed.
  StoreAccess &access() { return State->Access; }
  const StoreAccess &access() const { return State->Access; }

  void commit(const RowTransaction &Transaction, Millis Timeout,
              std::function<void(CommitOutcome)> Done) override;
  void read(const RowRange &Range, Millis Timeout,
            std::function<void(ReadOutcome)> Done) override;
  void follow(const std::string &Table, RowVersion After, Millis Wait,
              std::function<void(FeedOutcome)> Done) override;

private:
  struct Observation {
    StoreAccess Access;
    bool Lost = false;

    void record(bool Answered, TimePoint SentAt, TimePoint Now);
  };

  template <typename Outcome>
  std::function<void(Outcome)> observed(std::function<void(Outcome)> Done);

  const Clock &Time;
  RowStore &Backend;
  std::shared_ptr<Observation> State;
};

} // namespace daisyspool::rows

#endif // DAISYSPOOL_ROWS_OBSERVEDSTORE_H
