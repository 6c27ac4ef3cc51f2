#ifndef DAISYSPOOL_RECORD_LINEBUILDER_H
#define DAISYSPOOL_RECORD_LINEBUILDER_H

#include "daisyspool/jobs/Events.h"
#include "daisyspool/record/RunRecord.h"

#include <map>

namespace daisyspool {

/// Turns the events of one log into lines, remembering who asked for what.
///
/// Use one builder for a log, from its first entry. See RunRecord.
///
/// Thread safety: one thread.
class LineBuilder {
public:
  /// Returns the lines of \p Change, which \p Entry of \p Partition holds.
  std::vector<RecordLine> lines(const std::string &Partition,
                                const JournalEntry &Entry, const Event &Change);

private:
  struct Origin {
    CallerId Caller;
    std::string Request;
    VmId Vm;
  };

  void on(const JobSubmitted &Change);
  void on(const AttemptIntended &Change);
  void on(const AttemptRunning &Change);
  void on(const CheckpointTaken &Change);
  void on(const AttemptEnded &Change);
  void on(const TaskEnded &Change);
  void on(const JobCancelled &Change);
  void on(const RequestClaimed &Change);
  void on(const RequestEnded &Change);
  void on(const RequestsServed &Change);
  void on(const Retired &Change);
  void add(const Origin &From, const char *What, std::string Detail);
  void addAttempt(const TaskId &Task, AttemptNumber Attempt, const char *What);

  std::map<TaskId, Origin> Tasks;
  std::map<JobId, CallerId> Jobs;
  std::map<RequestId, Origin> Requests;
  RecordLine Template;
  std::vector<RecordLine> Result;
};

} // namespace daisyspool

#endif // DAISYSPOOL_RECORD_LINEBUILDER_H
