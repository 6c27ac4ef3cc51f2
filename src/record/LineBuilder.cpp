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
  std::visit([this](const auto &Typed) { onEvent(Typed); }, Change);
  return std::exchange(Result, {});
}

void LineBuilder::addLine(const Origin &From, const char *EventName,
                          std::string Detail) {
  RecordLine Line = Template;
  Line.Caller = From.Caller;
  Line.Request = From.Request;
  Line.EventName = EventName;
  Line.Detail = std::move(Detail);
  Line.Vm = From.Vm;
  Result.push_back(std::move(Line));
}

void LineBuilder::addAttemptLine(const TaskId &Task, AttemptNumber Attempt,
                                 const char *EventName) {
  addLine(Tasks[Task], EventName,
          Task.str() + '#' + std::to_string(Attempt.value()));
}

void LineBuilder::onEvent(const JobSubmitted &Change) {
  const Origin From{Change.Caller, Change.Job.str(), {}};
  Jobs[Change.Job] = Change.Caller;
  for (std::size_t Index = 0; Index < Change.Tasks.size(); ++Index)
    Tasks[taskOf(Change.Job, Index)] = From;
  addLine(From, "submitted", Change.Team.str());
}

void LineBuilder::onEvent(const AttemptIntended &Change) {
  Tasks[Change.Task].Vm = Change.Vm;
  addAttemptLine(Change.Task, Change.Attempt, "intended");
}

void LineBuilder::onEvent(const AttemptRunning &Change) {
  addAttemptLine(Change.Task, Change.Attempt, "running");
}

void LineBuilder::onEvent(const CheckpointTaken &Change) {
  addAttemptLine(Change.Task, Change.Attempt, "checkpointed");
}

void LineBuilder::onEvent(const AttemptEnded &Change) {
  addAttemptLine(Change.Task, Change.Attempt, toString(Change.Reason));
}

void LineBuilder::onEvent(const TaskEnded &Change) {
  Origin From = Tasks[Change.Task];
  From.Vm = {};
  addLine(From, toString(Change.Outcome), Change.Task.str());
}

void LineBuilder::onEvent(const JobCancelled &Change) {
  addLine({Change.By, Change.Job.str(), {}}, "cancelled", {});
}

void LineBuilder::onEvent(const RequestClaimed &Change) {
  const Origin From{Change.Caller, Change.Request.str(), Change.Grant.Vm};
  Requests[Change.Request] = From;
  addLine(From, "claimed", Change.Service.str());
}

void LineBuilder::onEvent(const RequestEnded &Change) {
  addLine(Requests[Change.Request], toString(Change.Outcome),
          std::to_string(Change.Status));
}

void LineBuilder::onEvent(const Retired &) {
  // No line: the owner only dropped details of ended work from memory.
}

void LineBuilder::onEvent(const RequestsServed &Change) {
  const WallMillis Written = Template.At;
  for (const ServedRequest &Served : Change.Requests) {
    Template.At = WallMillis(Served.StartedAtMillis);
    addLine({Served.Caller, Served.Request.str(), Served.Vm}, "served",
            Served.Service.str() + ' ' + std::to_string(Served.Status));
  }
  Template.At = Written;
}

} // namespace daisyspool
