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
  /// The next commands that fail with WorkerUnavailable after they took
  /// effect.
  unsigned LoseAnswers = 0;
  /// Every task that is started fails at once.
  bool FailAll = false;
  /// Lag of usage(), at most ten seconds.
  Duration UsageLag = Millis(1000);

  /// For crashes, failures on request and checks.
  WorkerModel &model() { return Model; }

  void run(const TaskStart &What, Duration Lease) override {
    command([&] {
      TaskStart Started = What;
      if (FailAll)
        Started.Command = "run_ms=0 exit_code=1";
      Model.run(Started, Time.now() + Lease, progressOf(What), Time.now());
    });
  }

  void renew(const TaskAttempt &Which, Duration Lease) override {
    command([&] { Model.renew(Which, Time.now() + Lease, Time.now()); });
  }

  void checkpoint(const TaskAttempt &Which, const CheckpointId &Name) override {
    command([&] {
      auto Done = Model.progress(Which, Time.now()).count();
      bool Stored = true;
      try {
        Objects.put(Name.str(), std::to_string(Done));
      } catch (const Error &) {
        Stored = false;
      }
      Model.checkpointEnded(Which, Name, Stored);
    });
  }

  void throttle(const TaskAttempt &Which, PerMille Share) override {
    command([&] { Model.throttle(Which, Share, Time.now()); });
  }

  void stop(const TaskAttempt &Which) override {
    command([&] { Model.stop(Which, Time.now()); });
  }

  void acknowledge(const TaskAttempt &Which) override {
    command([&] { Model.acknowledge(Which, Time.now()); });
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

  template <typename Function> void command(Function Act) {
    requireUp();
    Act();
    if (LoseAnswers == 0)
      return;

    --LoseAnswers;
    throw WorkerUnavailable("answer lost");
  }

  Millis progressOf(const TaskStart &What) {
    if (!What.ResumeFrom)
      return Millis(0);
    auto Bytes = Objects.get(What.ResumeFrom->str());
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
