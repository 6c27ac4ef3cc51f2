// Virtual time for tests: events run in order of their time, and the clock
// moves only with them.
#ifndef DAISYSPOOL_TESTS_FLEET_VIRTUALLOOP_H
#define DAISYSPOOL_TESTS_FLEET_VIRTUALLOOP_H

#include "daisyspool/core/EventLoop.h"

#include <map>
#include <memory>
#include <utility>

namespace daisyspool::testing {

class VirtualLoop final : public EventLoop, public Clock {
public:
  std::unique_ptr<Timer> timer() override;

  void post(std::function<void()> What) override {
    at(Current, std::move(What));
  }

  TimePoint now() const override { return Current; }
  WallMillis wallNow() const override {
    return std::chrono::duration_cast<WallMillis>(Current.time_since_epoch()) +
           WallMillis(1'700'000'000'000);
  }

  void after(Duration Delay, std::function<void()> What) {
    at(Current + Delay, std::move(What));
  }

  void runUntil(TimePoint End) {
    while (!Events.empty() && Events.begin()->first.first <= End) {
      auto Next = Events.begin();
      Current = Next->first.first;
      auto What = std::move(Next->second);
      Events.erase(Next);
      What();
    }
    Current = End;
  }

  void runFor(Duration Span) { runUntil(Current + Span); }

private:
  void at(TimePoint When, std::function<void()> What) {
    Events.emplace(std::pair(When, ++LastEvent), std::move(What));
  }

  // Leases begin at zero in the product; a day starts well after it.
  TimePoint Current{std::chrono::hours(1)};
  std::uint64_t LastEvent = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> Events;
};

class VirtualTimer final : public Timer {
public:
  explicit VirtualTimer(VirtualLoop &Loop) : Loop(Loop) {}
  ~VirtualTimer() override { ++*Generation; }

  void start(Millis After, std::function<void()> What) override {
    std::uint64_t Mine = ++*Generation;
    Loop.after(After, [Mine, Current = Generation, What = std::move(What)] {
      if (*Current == Mine)
        What();
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
