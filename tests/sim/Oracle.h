#ifndef DAISYSPOOL_TESTS_SIM_ORACLE_H
#define DAISYSPOOL_TESTS_SIM_ORACLE_H

#include "daisyspool/jobs/jobs.h"
#include "daisyspool/record/RunRecord.h"
#include "sim/MemoryPlatform.h"

#include <map>
#include <set>
#include <string>

namespace daisyspool::sim {

/// What a caller sent and what it got.
struct Submission {
  std::string Id;
  bool IsJob = false;
  CallerId Caller;
  std::string Body;
  std::optional<CallerAnswer> Answer;
};

/// The whole answer of the simulated target to a request.
inline std::string expectedAnswer(const std::string &Request,
                                  const std::string &Body) {
  return "answer to " + Request + " of " + Body;
}

/// Independent, simple bookkeeping of what must hold: guarantees 1 to 6 of
/// section 1.2 of docs/design.md and the rules that they rest on. It learns
/// from the rows in the store, from what workers do and from what callers get.
class Oracle {
public:
  explicit Oracle(const StoreContents &Contents) : Contents(Contents) {}

  /// The first violation seen; empty if none.
  std::string Violation;

  void fail(const std::string &What) {
    if (Violation.empty())
      Violation = What;
  }

  // Guarantee 1.
  void onCommitted(const VmId &Vm, const Resources &Sum,
                   const Resources &Capacity) {
    if (!Sum.fitsIn(Capacity))
      fail("guarantee 1: " + Vm.str() + " is committed beyond its capacity");
  }

  // Guarantees 2 and 3.
  void onStart(const StartOrder &Order) {
    readLogs();
    const TaskLog &Log = Tasks[Order.Task];
    const std::string Name = name(Order.Task, Order.Attempt);
    if (Order.Attempt > Log.Intended)
      fail("acted before the log: " + Name);
    if (!Started.insert({Order.Task, Order.Attempt}).second)
      fail("guarantee 3: " + Name + " is started twice");
    if (Order.Attempt == Log.Intended && Order.ResumeFrom != Log.ResumeFrom)
      fail("guarantee 3: " + Name + " resumes elsewhere than the log says");
    NewestRun[Order.Task] = std::max(NewestRun[Order.Task], Order.Attempt);
  }

  void onExecuting(const std::map<TaskId, std::vector<AttemptNumber>> &Now) {
    for (const auto &[Task, Attempts] : Now) {
      if (Attempts.size() > 1)
        fail("guarantee 2: " + Task.str() + " runs in two places");
      if (Attempts.front() < NewestRun[Task])
        fail("guarantee 3: " + name(Task, Attempts.front()) +
             " runs after a newer attempt");
    }
  }

  // Guarantee 6.
  void onExecuted(const RequestId &Request) {
    readLogs();
    if (Claimed.count(Request) == 0)
      fail("acted before the log: " + Request.str());
    if (++Executions[Request] > 1)
      fail("guarantee 6: " + Request.str() + " is run twice");
    checkRefusals(Request.str());
  }

  void onObeyed(const VmId &Vm, Incarnation Agent, ShardId Shard,
                Epoch OwnerEpoch, bool Obeyed) {
    Epoch &Newest = AgentEpochs[{Vm, Agent, Shard}];
    if (Obeyed && OwnerEpoch < Newest)
      fail(Vm.str() + " obeys an owner of a former epoch");
    Newest = std::max(Newest, OwnerEpoch);
  }

  std::size_t submitted(Submission Sent) {
    Submissions.push_back(std::move(Sent));
    return Submissions.size() - 1;
  }

  // Guarantees 4 and 5.
  void onAnswer(std::size_t Which, const CallerAnswer &Answer) {
    Submission &Sent = Submissions[Which];
    if (Sent.Answer)
      return;
    Sent.Answer = Answer;
    readLogs();
    if (Answer.Kind == AnswerKind::Accepted &&
        SubmittedJobs.count(Sent.Id) == 0)
      fail("accepted before the log: " + Sent.Id);
    if (Answer.Kind == AnswerKind::Answered) {
      if (Answer.Body != expectedAnswer(Sent.Id, Sent.Body))
        fail("guarantee 4: " + Sent.Id + " gets '" + Answer.Body + "'");
      if (Executions[RequestId(Sent.Id)] == 0)
        fail("guarantee 4: " + Sent.Id + " is answered and was not run");
      if (AnsweredTo.emplace(Sent.Id, Sent.Caller).first->second != Sent.Caller)
        fail("guarantee 4: " + Sent.Id + " is answered to another caller");
    }
    checkRefusals(Sent.Id);
  }

  std::uint64_t attempts(const TaskId &Task) const {
    auto Found = Tasks.find(Task);
    return Found == Tasks.end() ? 0 : Found->second.Intended.value();
  }

  const std::vector<Submission> &submissions() const { return Submissions; }

  /// Reads the entries appended since the last call.
  void readLogs() {
    for (std::uint64_t Shard = 0; Shard < ShardCount; ++Shard) {
      for (;;) {
        auto Found = Contents.Rows.find(
            {shardPartition(ShardId(Shard)),
             entrySortKey(SequenceNumber(EntriesRead[Shard] + 1))});
        if (Found == Contents.Rows.end())
          break;
        ++EntriesRead[Shard];
        for (const Event &Each :
             decodeEvents(decodeEntry(Found->second.Value).Body))
          std::visit([this](const auto &One) { on(One); }, Each);
      }
    }
  }

  /// Checks what must be true once all faults are over for long enough.
  void checkQuiescent() {
    readLogs();
    for (const auto &[Task, Log] : Tasks)
      if (!Log.Ended)
        fail("no end: " + Task.str() + " at attempt " +
             std::to_string(Log.Intended.value()));
    for (const RequestId &Request : Claimed)
      if (Settled.count(Request) == 0)
        fail("no end: " + Request.str());
  }

  /// Checks the logs as an operator would.
  void checkRecord(TableService &Table) {
    for (std::uint64_t Shard = 0; Shard < ShardCount; ++Shard)
      for (const RecordFinding &Each :
           RunRecord(Table).verify(shardPartition(ShardId(Shard))).Findings)
        fail("record of shard " + std::to_string(Shard) + ": entry " +
             std::to_string(Each.Sequence.value()) + " is " +
             toString(Each.Kind));
  }

  static constexpr std::uint64_t ShardCount = 2;

private:
  struct TaskLog {
    AttemptNumber Intended;
    bool Open = false;
    bool Ended = false;
    CheckpointId ResumeFrom;
    CheckpointId Newest;
  };

  static std::string name(const TaskId &Task, AttemptNumber Attempt) {
    return Task.str() + '#' + std::to_string(Attempt.value());
  }

  // A refusal with NotRun is wrong if all submissions of an id were refused
  // and it was run nevertheless. Guarantee 5.
  void checkRefusals(const std::string &Id) {
    const bool Effect =
        Executions[RequestId(Id)] > 0 || SubmittedJobs.count(Id);
    if (!Effect)
      return;
    for (const Submission &Sent : Submissions)
      if (Sent.Id == Id &&
          (!Sent.Answer || Sent.Answer->Kind != AnswerKind::NotRun))
        return;
    fail("guarantee 5: " + Id + " was refused as not run, and ran");
  }

  void on(const JobSubmitted &Change) {
    if (!SubmittedJobs.insert(Change.Job.str()).second)
      fail("log: " + Change.Job.str() + " is submitted twice");
    for (std::size_t Index = 0; Index < Change.Tasks.size(); ++Index)
      Tasks[taskOf(Change.Job, Index)];
    checkRefusals(Change.Job.str());
  }
  void on(const AttemptIntended &Change) {
    TaskLog &Log = Tasks[Change.Task];
    if (Log.Open || Log.Ended || Change.Attempt != Log.Intended.next())
      fail("guarantee 3: log: second chain of " + Change.Task.str());
    if (Change.ResumeFrom != Log.Newest)
      fail("guarantee 3: log: " + name(Change.Task, Change.Attempt) +
           " does not resume from the newest checkpoint");
    Log.Intended = Change.Attempt;
    Log.ResumeFrom = Change.ResumeFrom;
    Log.Open = true;
  }
  void on(const AttemptRunning &) {}
  void on(const CheckpointTaken &Change) {
    TaskLog &Log = Tasks[Change.Task];
    if (!Log.Open || Change.Attempt != Log.Intended)
      fail("guarantee 3: log: checkpoint of an ended attempt");
    Log.Newest = Change.Checkpoint;
  }
  void on(const AttemptEnded &Change) {
    TaskLog &Log = Tasks[Change.Task];
    if (!Log.Open || Change.Attempt != Log.Intended)
      fail("guarantee 3: log: " + name(Change.Task, Change.Attempt) +
           " ends twice");
    Log.Open = false;
  }
  void on(const TaskEnded &Change) { Tasks[Change.Task].Ended = true; }
  void on(const JobCancelled &) {}
  void on(const RequestClaimed &Change) {
    if (!Claimed.insert(Change.Request).second)
      fail("guarantee 6: log: " + Change.Request.str() + " is claimed twice");
  }
  void on(const RequestEnded &Change) {
    if (!Settled.insert(Change.Request).second)
      fail("log: " + Change.Request.str() + " is settled twice");
  }
  void on(const RequestsServed &) {}
  void on(const Retired &) {}

  const StoreContents &Contents;
  std::uint64_t EntriesRead[ShardCount] = {};
  std::map<TaskId, TaskLog> Tasks;
  std::set<std::pair<TaskId, AttemptNumber>> Started;
  std::map<TaskId, AttemptNumber> NewestRun;
  std::set<std::string> SubmittedJobs;
  std::set<RequestId> Claimed;
  std::set<RequestId> Settled;
  std::map<RequestId, int> Executions;
  std::map<std::tuple<VmId, Incarnation, ShardId>, Epoch> AgentEpochs;
  std::map<std::string, CallerId> AnsweredTo;
  std::vector<Submission> Submissions;
};

} // namespace daisyspool::sim

#endif // DAISYSPOOL_TESTS_SIM_ORACLE_H
