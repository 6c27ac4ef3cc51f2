#ifndef DAISYSPOOL_CORE_EVENTLOOP_H
#define DAISYSPOOL_CORE_EVENTLOOP_H

#include "daisyspool/core/Clock.h"

#include <functional>
#include <memory>

namespace daisyspool {

/// A one-shot timer of an EventLoop. Starting it again replaces what it would
/// have done; destroying it cancels it.
///
/// Thread safety: call from the loop's thread only.
class Timer {
public:
  Timer() = default;
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;
  virtual ~Timer() = default;

  /// Calls \p What once, \p After from now, unless it is cancelled.
  virtual void start(Millis After, std::function<void()> What) = 0;
  virtual void cancel() = 0;
};

/// The single thread on which a process's parts run, so that they can be driven
/// in real and in virtual time alike.
///
/// Thread safety: call from the loop's thread only.
class EventLoop {
public:
  EventLoop() = default;
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;
  virtual ~EventLoop() = default;

  virtual std::unique_ptr<Timer> timer() = 0;
  /// Calls \p What after the present handler has returned.
  virtual void post(std::function<void()> What) = 0;
};

} // namespace daisyspool

#endif // DAISYSPOOL_CORE_EVENTLOOP_H
