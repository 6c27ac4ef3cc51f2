#ifndef DAISYSPOOL_CORE_EVENTLOOP_H
#define DAISYSPOOL_CORE_EVENTLOOP_H

#include "daisyspool/core/Clock.h"

#include <functional>
#include <memory>

namespace daisyspool {

/// A one-shot timer of an EventLoop. Starting it again replaces the pending
/// callback; destroying it cancels it.
///
/// Thread safety: call from the loop's thread only.
class Timer {
public:
  Timer() = default;
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;
  virtual ~Timer() = default;

  /// Calls \p Callback once, \p After from now, unless it is cancelled.
  virtual void start(Millis After, std::function<void()> Callback) = 0;
  virtual void cancel() = 0;
};

/// Runs the components of a process on a single thread, in real time or in the
/// virtual time of a simulation.
///
/// Thread safety: call from the loop's thread only.
class EventLoop {
public:
  EventLoop() = default;
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;
  virtual ~EventLoop() = default;

  virtual std::unique_ptr<Timer> timer() = 0;
  /// Calls \p Callback after the current handler has returned.
  virtual void post(std::function<void()> Callback) = 0;
};

} // namespace daisyspool

#endif // DAISYSPOOL_CORE_EVENTLOOP_H
