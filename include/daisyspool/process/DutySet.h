#ifndef DAISYSPOOL_PROCESS_DUTYSET_H
#define DAISYSPOOL_PROCESS_DUTYSET_H

#include <functional>
#include <memory>
#include <string>

namespace daisyspool {

/// The duties, or long-running parts, of one process; each is a detached CAF
/// actor on its own thread.
///
/// Use one per process: add() every duty, then wait(). When a duty ends with an
/// exception, all duties are stopped, as peers take over sooner from a dead
/// process than from one that does only part of its work. See
/// entry/EntryProcess.h for a user.
///
/// Thread safety: add() and wait() from the main thread; requestStop() from
/// any thread.
class DutySet {
public:
  DutySet();
  DutySet(const DutySet &) = delete;
  DutySet &operator=(const DutySet &) = delete;
  /// Precondition: wait() has returned, or no duty was added.
  ~DutySet();

  /// Starts a duty. \p Run blocks until \p Stop, called from another thread,
  /// makes it return.
  void add(std::string Name, std::function<void()> Run,
           std::function<void()> Stop);

  /// Asks every duty to stop.
  void requestStop();

  /// Waits until all duties have ended. Returns false if one failed.
  bool wait();

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace daisyspool

#endif // DAISYSPOOL_PROCESS_DUTYSET_H
