#ifndef DAISYSPOOL_TRANSPORT_INBOX_H
#define DAISYSPOOL_TRANSPORT_INBOX_H

#include "daisyspool/core/Ring.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>

namespace daisyspool {

/// Bounded queue from one producer thread to an I/O thread.
///
/// Use it to pass data to the thread that runs an io_context. One wake-up of
/// the consumer handles all queued items.
///
/// Thread safety: tryPush() from one producer thread at a time; the handler
/// runs on the I/O thread. Keep it in a std::shared_ptr, because a posted
/// wake-up holds a reference.
template <typename T>
class Inbox : public std::enable_shared_from_this<Inbox<T>> {
public:
  using Handler = std::function<void(T)>;

  Inbox(boost::asio::io_context &Io, std::size_t Capacity, Handler OnItem)
      : Io(Io), Queue(Capacity), OnItem(std::move(OnItem)) {}
  Inbox(const Inbox &) = delete;
  Inbox &operator=(const Inbox &) = delete;

  /// Returns false, leaving \p Item untouched, when the queue is full.
  bool tryPush(T &Item) {
    if (!Queue.tryPush(Item))
      return false;

    wake();
    return true;
  }

  /// Discards queued and later items. Call from the I/O thread.
  void close() { OnItem = nullptr; }

private:
  void wake() {
    if (WakePending.exchange(true))
      return;

    boost::asio::post(Io, [Self = this->shared_from_this()] { Self->drain(); });
  }

  void drain() {
    // Cleared before the loop, so that an item pushed after the last tryPop()
    // posts another wake-up.
    WakePending.store(false);
    while (auto Item = Queue.tryPop())
      if (OnItem)
        OnItem(std::move(*Item));
  }

  boost::asio::io_context &Io;
  Ring<T> Queue;
  Handler OnItem;
  std::atomic<bool> WakePending{false};
};

} // namespace daisyspool

#endif // DAISYSPOOL_TRANSPORT_INBOX_H
