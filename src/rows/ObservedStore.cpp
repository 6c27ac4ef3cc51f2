#include "daisyspool/rows/ObservedStore.h"

#include "daisyspool/telemetry/Log.h"

#include <utility>

namespace daisyspool::rows {

namespace {

/// A conflict or a rejection is an answer: the store has examined the call.
bool isAnswer(const CommitOutcome &Outcome) {
  return !std::holds_alternative<NotApplied>(Outcome) &&
         !std::holds_alternative<OutcomeUnknown>(Outcome);
}

bool isAnswer(const ReadOutcome &Outcome) {
  return !std::holds_alternative<ReadFailed>(Outcome);
}

bool isAnswer(const FeedOutcome &Outcome) {
  return !std::holds_alternative<ReadFailed>(Outcome);
}

} // namespace

void ObservedStore::Observation::record(bool Answered, TimePoint SentAt,
                                        TimePoint Now) {
  if (Answered)
    Access.onAnswer(SentAt);
  else
    Access.onFailure(SentAt, Now);
  bool LostNow = Access.isLost(Now);
  if (std::exchange(Lost, LostNow) != LostNow)
    LogEvent(LogLevel::Warning,
             LostNow ? "store_access_lost" : "store_access_regained");
}

template <typename Outcome>
std::function<void(Outcome)>
ObservedStore::observed(std::function<void(Outcome)> Done) {
  return [State = State, &Time = Time, SentAt = Time.now(),
          Done = std::move(Done)](const Outcome &Result) {
    State->record(isAnswer(Result), SentAt, Time.now());
    Done(Result);
  };
}

void ObservedStore::commit(const RowTransaction &Transaction, Millis Timeout,
                           std::function<void(CommitOutcome)> Done) {
  Backend.commit(Transaction, Timeout, observed(std::move(Done)));
}

void ObservedStore::read(const RowRange &Range, Millis Timeout,
                         std::function<void(ReadOutcome)> Done) {
  Backend.read(Range, Timeout, observed(std::move(Done)));
}

void ObservedStore::follow(const std::string &Table, RowVersion After,
                           Millis Wait, std::function<void(FeedOutcome)> Done) {
  Backend.follow(Table, After, Wait, observed(std::move(Done)));
}

} // namespace daisyspool::rows
