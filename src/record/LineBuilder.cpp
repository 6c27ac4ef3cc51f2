#include "LineBuilder.h"

#include "daisyspool/jobs/JobTable.h"

#include <utility>

namespace daisyspool {

namespace {

const char *toString(EndReason Reason) {
  switch (Reason) {
  case EndReason::Finished:
    return "finished";
  case EndReason::Failed:
    return "failed";
  case EndReason::Evicted:
    return "evicted";
  case EndReason::Lost:
    return "lost";
  case EndReason::Cancelled:
    return "stopped";
  case EndReason::Refused:
    return "refused";
  }
  return "unknown";
}

const char *toString(RequestOutcome Outcome) {
  switch (Outcome) {
  case RequestOutcome::Answered:
    return "answered";
  case RequestOutcome::NotRun:
    return "not-run";
  case RequestOutcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

} // namespace

std::vector<RecordLine> LineBuilder::lines(const std::string &Partition,
                                           const JournalEntry &Entry,
                                           const Event &Change) {
  Template = {};
  Template.Partition = Partition;
  Template.Sequence = Entry.Sequence;
  Template.At = WallMillis(Entry.WrittenAtMillis);
  std::visit([this](const auto &One) { on(One); }, Change);
  return std::exchange(Result, {});
}

void LineBuilder::add(const Origin &From, const char *What,
                      std::string Detail) {
  RecordLine Line = Template;
  Line.Caller = From.Caller;
  Line.Request = From.Request;
  Line.EventName = What;
  Line.Detail = std::move(Detail);
  Line.Vm = From.Vm;
  Result.push_back(std::move(Line));
}

void LineBuilder::addAttempt(const TaskId &Task, AttemptNumber Attempt,
                             const char *What) {
  add(Tasks[Task], What, Task.str() + '#' + std::to_string(Attempt.value()));
}

void LineBuilder::on(const JobSubmitted &Change) {
  const Origin From{Change.Caller, Change.Job.str(), {}};
  Jobs[Change.Job] = Change.Caller;
  for (std::size_t Index = 0; Index < Change.Tasks.size(); ++Index)
    Tasks[taskOf(Change.Job, Index)] = From;
  add(From, "submitted", Change.Team.str());
}

void LineBuilder::on(const AttemptIntended &Change) {
  Tasks[Change.Task].Vm = Change.Vm;
  addAttempt(Change.Task, Change.Attempt, "intended");
}

void LineBuilder::on(const AttemptRunning &Change) {
  addAttempt(Change.Task, Change.Attempt, "running");
}

void LineBuilder::on(const CheckpointTaken &Change) {
  addAttempt(Change.Task, Change.Attempt, "checkpointed");
}

void LineBuilder::on(const AttemptEnded &Change) {
  addAttempt(Change.Task, Change.Attempt, toString(Change.Reason));
}

void LineBuilder::on(const TaskEnded &Change) {
  Origin From = Tasks[Change.Task];
  From.Vm = {};
  add(From, toString(Change.Outcome), Change.Task.str());
}

void LineBuilder::on(const JobCancelled &Change) {
  add({Change.By, Change.Job.str(), {}}, "cancelled", {});
}

void LineBuilder::on(const RequestClaimed &Change) {
  const Origin From{Change.Caller, Change.Request.str(), Change.Grant.Vm};
  Requests[Change.Request] = From;
  add(From, "claimed", Change.Service.str());
}

void LineBuilder::on(const RequestEnded &Change) {
  add(Requests[Change.Request], toString(Change.Outcome),
      std::to_string(Change.Status));
}

void LineBuilder::on(const Retired &) {
  // Nothing ran; the details only left the owner's memory.
}

void LineBuilder::on(const RequestsServed &Change) {
  const WallMillis Written = Template.At;
  for (const ServedRequest &One : Change.Requests) {
    Template.At = WallMillis(One.StartedAtMillis);
    add({One.Caller, One.Request.str(), One.Vm}, "served",
        One.Service.str() + ' ' + std::to_string(One.Status));
  }
  Template.At = Written;
}

} // namespace daisyspool
