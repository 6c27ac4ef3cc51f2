#ifndef DAISYSPOOL_RECORD_LINEBUILDER_H
#define DAISYSPOOL_RECORD_LINEBUILDER_H

#include "daisyspool/jobs/Events.h"
#include "daisyspool/record/RunRecord.h"

#include <map>

namespace daisyspool {

/// Turns the events of one log into record lines. It keeps the caller and VM of
/// each task and request, which later events of the log do not repeat.
///
/// Use one builder per log and pass it every event from the first entry on. See
/// RunRecord.
///
/// Thread safety: one thread.
class LineBuilder {
public:
  /// Returns the lines of \p Change, an event of \p Entry in the log \p
  /// Partition.
  std::vector<RecordLine> lines(const std::string &Partition,
                                const JournalEntry &Entry, const Event &Change);

private:
  /// The caller, the id of its job or request, and the VM that runs it.
  struct Origin {
    CallerId Caller;
    std::string Request;
    VmId Vm;
  };

  void onEvent(const JobSubmitted &Change);
  void onEvent(const AttemptIntended &Change);
  void onEvent(const AttemptRunning &Change);
  void onEvent(const CheckpointTaken &Change);
  void onEvent(const AttemptEnded &Change);
  void onEvent(const TaskEnded &Change);
  void onEvent(const JobCancelled &Change);
  void onEvent(const RequestClaimed &Change);
  void onEvent(const RequestEnded &Change);
  void onEvent(const RequestsServed &Change);
  void onEvent(const Retired &Change);
  void addLine(const Origin &From, const char *EventName, std::string Detail);
  void addAttemptLine(const TaskId &Task, AttemptNumber Attempt,
                      const char *EventName);

  std::map<TaskId, Origin> Tasks;
  std::map<JobId, CallerId> Jobs;
  std::map<RequestId, Origin> Requests;
  RecordLine Template;
  std::vector<RecordLine> Result;
};

} // namespace daisyspool

#endif // DAISYSPOOL_RECORD_LINEBUILDER_H
