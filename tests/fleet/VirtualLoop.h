// An event loop and clock with virtual time for tests: events run in the order
// of their times, and the clock advances only to the time of an event or to the
// end of a run.
#ifndef DAISYSPOOL_TESTS_FLEET_VIRTUALLOOP_H
#define DAISYSPOOL_TESTS_FLEET_VIRTUALLOOP_H

#include "daisyspool/core/EventLoop.h"
#include "support/CpuTime.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace daisyspool::testing {

class VirtualLoop final : public EventLoop, public Clock {
public:
  std::unique_ptr<Timer> timer() override;

  void post(std::function<void()> Callback) override {
    schedule(Current, std::move(Callback));
  }

  TimePoint now() const override { return Current; }
  WallMillis wallNow() const override {
    return std::chrono::duration_cast<WallMillis>(Current.time_since_epoch()) +
           WallMillis(1'700'000'000'000);
  }

  void after(Duration Delay, std::function<void()> Callback) {
    schedule(Current + Delay, std::move(Callback));
  }

  void runUntil(TimePoint End) {
    while (!Events.empty() && Events.begin()->first.first <= End) {
      auto Next = Events.begin();
      Current = Next->first.first;
      auto Callback = std::move(Next->second);
      Events.erase(Next);
      if (LongestEvent)
        LongestEvent = std::max(*LongestEvent, cpuTime(Callback));
      else
        Callback();
    }
    Current = End;
  }

  void runFor(Duration Span) { runUntil(Current + Span); }

  /// Processor time of the longest event; recorded while it has a value.
  std::optional<std::chrono::microseconds> LongestEvent;

private:
  void schedule(TimePoint DueAt, std::function<void()> Callback) {
    Events.emplace(std::pair(DueAt, ++LastEvent), std::move(Callback));
  }

  // Lease times of the product are initially zero, so the clock starts well
  // after that.
  TimePoint Current{std::chrono::hours(1)};
  std::uint64_t LastEvent = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> Events;
};

class VirtualTimer final : public Timer {
public:
  explicit VirtualTimer(VirtualLoop &Loop) : Loop(Loop) {}
  ~VirtualTimer() override { ++*Generation; }

  void start(Millis After, std::function<void()> Callback) override {
    std::uint64_t OwnGeneration = ++*Generation;
    Loop.after(After, [OwnGeneration, Current = Generation,
                       Callback = std::move(Callback)] {
      if (*Current == OwnGeneration)
        Callback();
    });
  }

  void cancel() override { ++*Generation; }

private:
  VirtualLoop &Loop;
  std::shared_ptr<std::uint64_t> Generation =
      std::make_shared<std::uint64_t>(0);
};

inline std::unique_ptr<Timer> VirtualLoop::timer() {
  return std::make_unique<VirtualTimer>(*this);
}

} // namespace daisyspool::testing

#endif // DAISYSPOOL_TESTS_FLEET_VIRTUALLOOP_H
