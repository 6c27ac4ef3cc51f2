// Processor time of the calling thread, for tests that bound the cost of a
// step. It does not depend on the other load of the machine.
#ifndef DAISYSPOOL_TESTS_SUPPORT_CPUTIME_H
#define DAISYSPOOL_TESTS_SUPPORT_CPUTIME_H

#include <chrono>
#include <ctime>
#include <utility>

namespace daisyspool::testing {

/// A leader whose event loop is held for longer is replaced: its status is
/// renewed every 500 ms and may be 1,600 ms old, and the smallest entry has
/// 0.069 of a core.
inline constexpr std::chrono::milliseconds MaxStepTime{(1600 - 500) * 69 /
                                                       1000};

/// The processor time that \p Step takes.
template <typename Function>
std::chrono::microseconds cpuTime(Function &&Step) {
  auto Now = [] {
    timespec Time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
    return std::chrono::seconds(Time.tv_sec) +
           std::chrono::nanoseconds(Time.tv_nsec);
  };
  auto Begin = Now();
  std::forward<Function>(Step)();
  return std::chrono::duration_cast<std::chrono::microseconds>(Now() - Begin);
}

} // namespace daisyspool::testing

#endif // DAISYSPOOL_TESTS_SUPPORT_CPUTIME_H
