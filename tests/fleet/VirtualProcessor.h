// The processor of one simulated process: handles its events one after the
// other, each for a set time, so that a test can overload the process.
#ifndef DAISYSPOOL_TESTS_FLEET_VIRTUALPROCESSOR_H
#define DAISYSPOOL_TESTS_FLEET_VIRTUALPROCESSOR_H

#include "fleet/VirtualLoop.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace daisyspool::testing {

/// True while a simulated process runs; callbacks to a process that has ended
/// are dropped.
using AliveFlag = std::shared_ptr<bool>;

/// An event loop whose timers, and the answers that pass through handled(),
/// queue up for one processor.
class VirtualProcessor final : public EventLoop {
public:
  VirtualProcessor(VirtualLoop &Loop, AliveFlag Alive)
      : Loop(Loop), Alive(std::move(Alive)) {}

  /// Processor time of each event; 0 handles events at once.
  Millis TimePerEvent{0};

  std::unique_ptr<Timer> timer() override;
  void post(std::function<void()> Callback) override {
    run(std::move(Callback));
  }

  /// Handles one event when its turn comes.
  void run(std::function<void()> Event) {
    if (TimePerEvent == Millis(0))
      return Loop.post(std::move(Event));
    BusyUntil = std::max(BusyUntil, Loop.now()) + TimePerEvent;
    Loop.after(BusyUntil - Loop.now(), [Process = Alive, Event] {
      if (*Process)
        Event();
    });
  }

  /// A callback that is handled as an event of this process.
  template <typename Outcome>
  std::function<void(Outcome)> handled(std::function<void(Outcome)> Done) {
    return
        [this, Process = Alive, Done = std::move(Done)](const Outcome &Result) {
          if (!*Process)
            return;
          if (TimePerEvent == Millis(0))
            return Done(Result);
          run([Done, Result] { Done(Result); });
        };
  }

  const AliveFlag &aliveFlag() const { return Alive; }

private:
  VirtualLoop &Loop;
  AliveFlag Alive;
  TimePoint BusyUntil{};
};

/// A timer whose callback waits for the processor.
class ProcessorTimer final : public Timer {
public:
  ProcessorTimer(VirtualLoop &Loop, VirtualProcessor &Cpu)
      : Cpu(Cpu), Inner(Loop.timer()) {}
  ~ProcessorTimer() override { ++*Generation; }

  void start(Millis After, std::function<void()> Callback) override {
    std::uint64_t Own = ++*Generation;
    // A callback that holds its own timer outlives the process.
    Inner->start(After, [this, Own, Process = Cpu.aliveFlag(),
                         Current = Generation, Callback = std::move(Callback)] {
      if (!*Process)
        return;
      if (Cpu.TimePerEvent == Millis(0))
        return Callback();
      Cpu.run([Own, Current, Callback] {
        if (*Current == Own)
          Callback();
      });
    });
  }

  void cancel() override {
    ++*Generation;
    Inner->cancel();
  }

private:
  VirtualProcessor &Cpu;
  std::unique_ptr<Timer> Inner;
  std::shared_ptr<std::uint64_t> Generation =
      std::make_shared<std::uint64_t>(0);
};

inline std::unique_ptr<Timer> VirtualProcessor::timer() {
  return std::make_unique<ProcessorTimer>(Loop, *this);
}

} // namespace daisyspool::testing

#endif // DAISYSPOOL_TESTS_FLEET_VIRTUALPROCESSOR_H
