#ifndef DAISYSPOOL_STANDINS_WORKERMODEL_H
#define DAISYSPOOL_STANDINS_WORKERMODEL_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/worker/Worker.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <sstream>

namespace daisyspool {

/// Behaviour of a fake task, parsed from a command like
/// "run_ms=5000 exit_code=1 used_milli_cores=300". Unknown words are ignored.
struct FakeCommand {
  /// Run time at the full share.
  Millis RunFor{1000};
  int ExitCode = 0;
  /// Actual use if it differs from the declared size.
  std::optional<std::int64_t> UsedMilliCores;
  std::optional<std::int64_t> UsedMebiBytes;

  static FakeCommand parse(const std::string &Text) {
    FakeCommand Result;
    std::istringstream Words(Text);
    for (std::string Word; Words >> Word;) {
      std::size_t Equals = Word.find('=');
      if (Equals == std::string::npos)
        continue;
      std::int64_t Value = 0;
      std::from_chars(Word.data() + Equals + 1, Word.data() + Word.size(),
                      Value);
      std::string Name = Word.substr(0, Equals);
      if (Name == "run_ms")
        Result.RunFor = Millis(Value);
      else if (Name == "exit_code")
        Result.ExitCode = static_cast<int>(Value);
      else if (Name == "used_milli_cores")
        Result.UsedMilliCores = Value;
      else if (Name == "used_mebi_bytes")
        Result.UsedMebiBytes = Value;
    }

    return Result;
  }
};

/// The tasks of one fake worker: leases, progress, checkpoints and usage.
///
/// Shared by the worker stand-in and by the fake of the tests. Has no
/// clock: every call takes the current time. Thread safety: one thread at a
/// time.
class WorkerModel {
public:
  using Reason = WorkerRefused::Reason;

  explicit WorkerModel(const Resources &Capacity) : Capacity(Capacity) {}

  /// Starts a task that has already completed \p Progress of its run time.
  /// Throws WorkerRefused, as the other calls do.
  void run(const TaskStart &Start, TimePoint LeaseEnd, Millis Progress,
           TimePoint Now) {
    advance(Now);
    if (Ended.contains(Start.Id))
      throw WorkerRefused(Reason::AttemptEnded, "attempt was stopped");
    auto Found = Tasks.find(Start.Id.Task);
    if (Found != Tasks.end() && Found->second.Status.Id == Start.Id)
      return;
    if (Found != Tasks.end())
      throw WorkerRefused(Reason::AnotherAttempt, "another attempt is there");
    if (LeaseEnd <= Now)
      throw WorkerRefused(Reason::LeaseLapsed, "lease has lapsed");
    if (!(committed() + Start.Size).fitsIn(Capacity)) {
      ++Overcommits;
      throw WorkerRefused(Reason::NoRoom, "beyond the capacity of the VM");
    }

    Task Started;
    Started.Status.Id = Start.Id;
    Started.Status.Size = Start.Size;
    Started.Command = FakeCommand::parse(Start.Command);
    Started.Progress = Progress;
    Started.LeaseEnd = LeaseEnd;
    Started.AdvancedTo = Now;
    Tasks.emplace(Start.Id.Task, std::move(Started));
  }

  void renew(const TaskAttempt &Id, TimePoint LeaseEnd, TimePoint Now) {
    advance(Now);
    Task &Held = requireLive(Id);
    if (LeaseEnd <= Now)
      throw WorkerRefused(Reason::LeaseLapsed, "lease has lapsed");

    Held.LeaseEnd = LeaseEnd;
    setPhase(Held, Now);
  }

  void throttle(const TaskAttempt &Id, PerMille Share, TimePoint Now) {
    advance(Now);
    Task &Held = requireLive(Id);
    Held.Status.Share = Share;
    setPhase(Held, Now);
  }

  void stop(const TaskAttempt &Id, TimePoint Now) {
    advance(Now);
    // A delayed run call for this attempt must not start it.
    Ended.insert(Id);
    auto Found = Tasks.find(Id.Task);
    if (Found != Tasks.end() && Found->second.Status.Id == Id &&
        isLive(Found->second))
      Found->second.Status.Phase = WorkerTaskPhase::Stopped;
  }

  void acknowledge(const TaskAttempt &Id, TimePoint Now) {
    advance(Now);
    auto Found = Tasks.find(Id.Task);
    if (Found == Tasks.end() || Found->second.Status.Id != Id)
      return;
    if (isLive(Found->second))
      throw WorkerRefused(Reason::AnotherAttempt, "attempt has not ended");

    Ended.insert(Id);
    Tasks.erase(Found);
  }

  /// Run time that a task has completed; its checkpoint holds nothing else.
  Millis progress(const TaskAttempt &Id, TimePoint Now) {
    advance(Now);
    return std::chrono::floor<Millis>(requireLive(Id).Progress);
  }

  /// Records that a checkpoint was stored or has failed.
  void checkpointEnded(const TaskAttempt &Id, const CheckpointId &Name,
                       bool Stored) {
    auto Found = Tasks.find(Id.Task);
    if (Found == Tasks.end() || Found->second.Status.Id != Id)
      return;
    WorkerTask &Status = Found->second.Status;
    (Stored ? Status.LastCheckpoint : Status.FailedCheckpoint) = Name;
  }

  /// Ends a running task with a failure.
  void fail(const TaskId &Id, int ExitCode, TimePoint Now) {
    advance(Now);
    auto Found = Tasks.find(Id);
    if (Found == Tasks.end() || !isLive(Found->second))
      throw WorkerRefused(Reason::UnknownTask, "no such running task");

    Found->second.Status.Phase = WorkerTaskPhase::Failed;
    Found->second.Status.ExitCode = ExitCode;
  }

  /// Clears all state but the count of overcommits, like a restart of the VM.
  void crash() {
    Tasks.clear();
    Ended.clear();
    Samples.clear();
  }

  std::vector<WorkerTask> tasks(TimePoint Now) {
    advance(Now);
    std::vector<WorkerTask> Result;
    for (const auto &[Id, Each] : Tasks)
      Result.push_back(Each.Status);

    return Result;
  }

  /// Returns the newest measurement that is at least \p Lag old; empty and of
  /// age zero if there is none yet. Precondition: \p Lag is at most ten
  /// seconds.
  WorkerUsage usage(Duration Lag, TimePoint Now) {
    advance(Now);
    const Sample *Newest = nullptr;
    for (const Sample &Each : Samples)
      if (Now - Each.At >= Lag)
        Newest = &Each;
    if (Newest == nullptr)
      return {};

    return {Newest->Tasks, Now - Newest->At};
  }

  /// Advances all tasks to \p Now and measures their use once per sample
  /// period.
  void advance(TimePoint Now) {
    TimePoint Next = Samples.empty() ? Now : Samples.back().At + SamplePeriod;
    // Samples that are too old to be reported are not taken.
    if (Now - Next > MaxLag + SamplePeriod)
      Next = Now - MaxLag - SamplePeriod;
    for (; Next <= Now; Next += SamplePeriod) {
      for (auto &[Id, Each] : Tasks)
        advance(Each, Next);
      takeSample(Next);
    }

    for (auto &[Id, Each] : Tasks)
      advance(Each, Now);
  }

  /// Starts that were refused because the VM would have been overcommitted.
  std::uint64_t overcommits() const { return Overcommits; }

private:
  static constexpr Millis SamplePeriod{100};
  static constexpr Millis MaxLag{10000};

  struct Task {
    WorkerTask Status;
    FakeCommand Command;
    Duration Progress{};
    TimePoint LeaseEnd{};
    TimePoint AdvancedTo{};
  };

  struct Sample {
    TimePoint At{};
    std::vector<TaskUsage> Tasks;
  };

  void takeSample(TimePoint At) {
    Sample Taken{At, {}};
    for (const auto &[Id, Each] : Tasks)
      if (isLive(Each))
        Taken.Tasks.push_back({Each.Status.Id, measuredUse(Each)});
    Samples.push_back(std::move(Taken));
    if (Samples.size() > MaxLag / SamplePeriod + 2)
      Samples.pop_front();
  }

  static bool isLive(const Task &Each) {
    return Each.Status.Phase == WorkerTaskPhase::Running ||
           Each.Status.Phase == WorkerTaskPhase::Suspended;
  }

  static void setPhase(Task &Each, TimePoint Now) {
    bool Runs = Now < Each.LeaseEnd && Each.Status.Share > Suspended;
    Each.Status.Phase =
        Runs ? WorkerTaskPhase::Running : WorkerTaskPhase::Suspended;
  }

  static void advance(Task &Each, TimePoint Now) {
    if (!isLive(Each) || Now <= Each.AdvancedTo)
      return;

    // Nothing runs after the end of the lease, even if it is detected late.
    TimePoint Until = std::min(Now, Each.LeaseEnd);
    if (Until > Each.AdvancedTo)
      Each.Progress +=
          (Until - Each.AdvancedTo) * Each.Status.Share.value() / 1000;
    Each.AdvancedTo = Now;
    setPhase(Each, Now);
    if (Each.Progress < Each.Command.RunFor)
      return;

    Each.Status.ExitCode = Each.Command.ExitCode;
    Each.Status.Phase = Each.Command.ExitCode == 0 ? WorkerTaskPhase::Finished
                                                   : WorkerTaskPhase::Failed;
  }

  static Resources measuredUse(const Task &Each) {
    const Resources &Size = Each.Status.Size;
    std::int64_t Cpu = Each.Command.UsedMilliCores.value_or(Size.Cpu.value());
    std::int64_t Share = Each.Status.Phase == WorkerTaskPhase::Running
                             ? Each.Status.Share.value()
                             : 0;
    return {MilliCores(Cpu * Share / 1000),
            MebiBytes(Each.Command.UsedMebiBytes.value_or(Size.Memory.value())),
            Size.Accelerator};
  }

  Resources committed() const {
    Resources Sum;
    for (const auto &[Id, Each] : Tasks)
      if (isLive(Each))
        Sum = Sum + Each.Status.Size;

    return Sum;
  }

  Task &requireLive(const TaskAttempt &Id) {
    auto Found = Tasks.find(Id.Task);
    if (Found == Tasks.end() || Found->second.Status.Id != Id)
      throw WorkerRefused(Reason::UnknownTask, "no such attempt");
    if (!isLive(Found->second))
      throw WorkerRefused(Reason::AttemptEnded, "attempt has ended");

    return Found->second;
  }

  Resources Capacity;
  std::map<TaskId, Task> Tasks;
  std::set<TaskAttempt> Ended;
  std::deque<Sample> Samples;
  std::uint64_t Overcommits = 0;
};

} // namespace daisyspool

#endif // DAISYSPOOL_STANDINS_WORKERMODEL_H
