#ifndef DAISYSPOOL_TESTS_SUPPORT_FAKEWORKER_H
#define DAISYSPOOL_TESTS_SUPPORT_FAKEWORKER_H

#include "WorkerModel.h"
#include "daisyspool/core/Clock.h"
#include "daisyspool/platform/ObjectStore.h"
#include "daisyspool/worker/Worker.h"

#include <string>

namespace daisyspool {

/// A worker in memory, for tests and fuzzing of the agent.
///
/// Fake tasks make progress as the clock advances; their commands are those
/// of FakeCommand. Checkpoints are stored in the given object store at once.
/// Thread safety: one thread at a time.
class FakeWorker final : public Worker {
public:
  /// Precondition: \p Time and \p Objects outlive this object.
  FakeWorker(const Resources &Capacity, const Clock &Time, ObjectStore &Objects)
      : Model(Capacity), Time(Time), Objects(Objects) {}

  /// Every call fails with WorkerUnavailable and has no effect.
  bool Down = false;
  /// Number of next commands that fail with WorkerUnavailable after they took
  /// effect.
  unsigned LoseAnswers = 0;
  /// Every task that is started fails at once.
  bool FailAll = false;
  /// Lag of usage(), at most ten seconds.
  Duration UsageLag = Millis(1000);

  /// The model behind the calls, to inject crashes and failures and to check
  /// the state.
  WorkerModel &model() { return Model; }

  void run(const TaskStart &Task, Duration Lease) override {
    command([&] {
      TaskStart Started = Task;
      if (FailAll)
        Started.Command = "run_ms=0 exit_code=1";
      Model.run(Started, Time.now() + Lease, initialProgress(Task), Time.now());
    });
  }

  void renew(const TaskAttempt &Id, Duration Lease) override {
    command([&] { Model.renew(Id, Time.now() + Lease, Time.now()); });
  }

  void checkpoint(const TaskAttempt &Id, const CheckpointId &Name) override {
    command([&] {
      auto Done = Model.progress(Id, Time.now()).count();
      bool Stored = true;
      try {
        Objects.put(Name.str(), std::to_string(Done));
      } catch (const Error &) {
        Stored = false;
      }
      Model.checkpointEnded(Id, Name, Stored);
    });
  }

  void throttle(const TaskAttempt &Id, PerMille Share) override {
    command([&] { Model.throttle(Id, Share, Time.now()); });
  }

  void stop(const TaskAttempt &Id) override {
    command([&] { Model.stop(Id, Time.now()); });
  }

  void acknowledge(const TaskAttempt &Id) override {
    command([&] { Model.acknowledge(Id, Time.now()); });
  }

  std::vector<WorkerTask> tasks() override {
    requireUp();
    return Model.tasks(Time.now());
  }

  WorkerUsage usage() override {
    requireUp();
    return Model.usage(UsageLag, Time.now());
  }

private:
  void requireUp() const {
    if (Down)
      throw WorkerUnavailable("down");
  }

  template <typename Function> void command(Function Perform) {
    requireUp();
    Perform();
    if (LoseAnswers == 0)
      return;

    --LoseAnswers;
    throw WorkerUnavailable("answer lost");
  }

  Millis initialProgress(const TaskStart &Task) {
    if (!Task.ResumeFrom)
      return Millis(0);
    auto Bytes = Objects.get(Task.ResumeFrom->str());
    if (!Bytes)
      throw WorkerRefused(WorkerRefused::Reason::UnknownCheckpoint,
                          "no such checkpoint");

    return Millis(std::stoll(*Bytes));
  }

  WorkerModel Model;
  const Clock &Time;
  ObjectStore &Objects;
};

} // namespace daisyspool

#endif // DAISYSPOOL_TESTS_SUPPORT_FAKEWORKER_H
