#ifndef DAISYSPOOL_TESTS_SIM_ORACLE_H
#define DAISYSPOOL_TESTS_SIM_ORACLE_H

#include "daisyspool/jobs/jobs.h"
#include "daisyspool/record/RunRecord.h"
#include "sim/MemoryPlatform.h"

#include <map>
#include <set>
#include <string>

namespace daisyspool::sim {

/// A request or job of a caller and its answer.
struct Submission {
  std::string Id;
  bool IsJob = false;
  CallerId Caller;
  std::string Body;
  std::optional<CallerAnswer> Answer;
};

/// Body of the answer of the simulated target to a request.
inline std::string expectedAnswer(const std::string &Request,
                                  const std::string &Body) {
  return "answer to " + Request + " of " + Body;
}

/// Checks guarantees 1 to 6 of section 1.2 of docs/design.md, and the rules
/// that they depend on, independently of the code under test. Its inputs are
/// the rows in the store, the actions of workers and the answers to callers.
class Oracle {
public:
  explicit Oracle(const StoreContents &Contents) : Contents(Contents) {}

  /// The first violation seen; empty if none.
  std::string Violation;

  void recordViolation(const std::string &Message) {
    if (Violation.empty())
      Violation = Message;
  }

  // Guarantee 1.
  void onCommitted(const VmId &Vm, const Resources &Sum,
                   const Resources &Capacity) {
    if (!Sum.fitsIn(Capacity))
      recordViolation("guarantee 1: " + Vm.str() +
                      " is committed beyond its capacity");
  }

  // Guarantees 2 and 3.
  void onStart(const StartOrder &Order) {
    readLogs();
    const TaskLog &Log = Tasks[Order.Task];
    const std::string Name = attemptName(Order.Task, Order.Attempt);
    if (Order.Attempt > Log.Intended)
      recordViolation("effect before its log entry: " + Name);
    if (!Started.insert({Order.Task, Order.Attempt}).second)
      recordViolation("guarantee 3: " + Name + " is started twice");
    if (Order.Attempt == Log.Intended && Order.ResumeFrom != Log.ResumeFrom)
      recordViolation("guarantee 3: " + Name +
                      " does not resume from the logged checkpoint");
    NewestRun[Order.Task] = std::max(NewestRun[Order.Task], Order.Attempt);
  }

  void onExecuting(const std::map<TaskId, std::vector<AttemptNumber>> &Now) {
    for (const auto &[Task, Attempts] : Now) {
      if (Attempts.size() > 1)
        recordViolation("guarantee 2: " + Task.str() + " runs on two VMs");
      if (Attempts.front() < NewestRun[Task])
        recordViolation("guarantee 3: " + attemptName(Task, Attempts.front()) +
                        " runs after a newer attempt");
    }
  }

  // Guarantee 6.
  void onExecuted(const RequestId &Request) {
    readLogs();
    if (Claimed.count(Request) == 0)
      recordViolation("effect before its log entry: " + Request.str());
    if (++Executions[Request] > 1)
      recordViolation("guarantee 6: " + Request.str() + " is run twice");
    checkRefusals(Request.str());
  }

  void onOwnerCommand(const VmId &Vm, Incarnation Agent, ShardId Shard,
                      Epoch OwnerEpoch, bool Accepted) {
    Epoch &Newest = AgentEpochs[{Vm, Agent, Shard}];
    if (Accepted && OwnerEpoch < Newest)
      recordViolation(Vm.str() +
                      " accepts a command of an earlier owner epoch");
    Newest = std::max(Newest, OwnerEpoch);
  }

  std::size_t addSubmission(Submission Sent) {
    Submissions.push_back(std::move(Sent));
    return Submissions.size() - 1;
  }

  // Guarantees 4 and 5.
  void onAnswer(std::size_t Index, const CallerAnswer &Answer) {
    Submission &Sent = Submissions[Index];
    if (Sent.Answer)
      return;
    Sent.Answer = Answer;
    readLogs();
    if (Answer.Kind == AnswerKind::Accepted &&
        SubmittedJobs.count(Sent.Id) == 0)
      recordViolation("accepted before its log entry: " + Sent.Id);
    if (Answer.Kind == AnswerKind::Answered) {
      if (Answer.Body != expectedAnswer(Sent.Id, Sent.Body))
        recordViolation("guarantee 4: " + Sent.Id + " got the wrong answer '" +
                        Answer.Body + "'");
      if (Executions[RequestId(Sent.Id)] == 0)
        recordViolation("guarantee 4: " + Sent.Id +
                        " is answered and was not run");
      if (AnsweredTo.emplace(Sent.Id, Sent.Caller).first->second != Sent.Caller)
        recordViolation("guarantee 4: " + Sent.Id +
                        " is answered to another caller");
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
          std::visit([this](const auto &Logged) { on(Logged); }, Each);
      }
    }
  }

  /// Checks that all work has ended. Precondition: all faults ended long enough
  /// ago.
  void checkQuiescent() {
    readLogs();
    for (const auto &[Task, Log] : Tasks)
      if (!Log.Ended)
        recordViolation("has not ended: " + Task.str() + " at attempt " +
                        std::to_string(Log.Intended.value()));
    for (const RequestId &Request : Claimed)
      if (EndedRequests.count(Request) == 0)
        recordViolation("has not ended: " + Request.str());
  }

  /// Verifies the run records of all shards, like the command verify-record.
  void checkRecord(TableService &Table) {
    for (std::uint64_t Shard = 0; Shard < ShardCount; ++Shard)
      for (const RecordFinding &Each :
           RunRecord(Table).verify(shardPartition(ShardId(Shard))).Findings)
        recordViolation("record of shard " + std::to_string(Shard) +
                        ": entry " + std::to_string(Each.Sequence.value()) +
                        " is " + toString(Each.Kind));
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

  static std::string attemptName(const TaskId &Task, AttemptNumber Attempt) {
    return Task.str() + '#' + std::to_string(Attempt.value());
  }

  // Guarantee 5: if all submissions of an id were refused with NotRun, it must
  // not run.
  void checkRefusals(const std::string &Id) {
    const bool Effect =
        Executions[RequestId(Id)] > 0 || SubmittedJobs.count(Id);
    if (!Effect)
      return;
    for (const Submission &Sent : Submissions)
      if (Sent.Id == Id &&
          (!Sent.Answer || Sent.Answer->Kind != AnswerKind::NotRun))
        return;
    recordViolation("guarantee 5: " + Id + " was refused as not run, and ran");
  }

  void on(const JobSubmitted &Change) {
    if (!SubmittedJobs.insert(Change.Job.str()).second)
      recordViolation("log: " + Change.Job.str() + " is submitted twice");
    for (std::size_t Index = 0; Index < Change.Tasks.size(); ++Index)
      Tasks[taskOf(Change.Job, Index)];
    checkRefusals(Change.Job.str());
  }
  void on(const AttemptIntended &Change) {
    TaskLog &Log = Tasks[Change.Task];
    if (Log.Open || Log.Ended || Change.Attempt != Log.Intended.next())
      recordViolation("guarantee 3: log: unexpected new attempt of " +
                      Change.Task.str());
    if (Change.ResumeFrom != Log.Newest)
      recordViolation(
          "guarantee 3: log: " + attemptName(Change.Task, Change.Attempt) +
          " does not resume from the newest checkpoint");
    Log.Intended = Change.Attempt;
    Log.ResumeFrom = Change.ResumeFrom;
    Log.Open = true;
  }
  void on(const AttemptRunning &) {}
  void on(const CheckpointTaken &Change) {
    TaskLog &Log = Tasks[Change.Task];
    if (!Log.Open || Change.Attempt != Log.Intended)
      recordViolation("guarantee 3: log: checkpoint of an ended attempt");
    Log.Newest = Change.Checkpoint;
  }
  void on(const AttemptEnded &Change) {
    TaskLog &Log = Tasks[Change.Task];
    if (!Log.Open || Change.Attempt != Log.Intended)
      recordViolation("guarantee 3: log: " +
                      attemptName(Change.Task, Change.Attempt) + " ends twice");
    Log.Open = false;
  }
  void on(const TaskEnded &Change) { Tasks[Change.Task].Ended = true; }
  void on(const JobCancelled &) {}
  void on(const RequestClaimed &Change) {
    if (!Claimed.insert(Change.Request).second)
      recordViolation("guarantee 6: log: " + Change.Request.str() +
                      " is claimed twice");
  }
  void on(const RequestEnded &Change) {
    if (!EndedRequests.insert(Change.Request).second)
      recordViolation("log: " + Change.Request.str() + " is settled twice");
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
  std::set<RequestId> EndedRequests;
  std::map<RequestId, int> Executions;
  std::map<std::tuple<VmId, Incarnation, ShardId>, Epoch> AgentEpochs;
  std::map<std::string, CallerId> AnsweredTo;
  std::vector<Submission> Submissions;
};

} // namespace daisyspool::sim

#endif // DAISYSPOOL_TESTS_SIM_ORACLE_H
