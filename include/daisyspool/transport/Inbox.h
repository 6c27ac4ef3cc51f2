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

/// Bounded ring whose consumer is an I/O thread.
///
/// Use it to pass data from one producer thread to the duty that runs an
/// io_context. The consumer is woken once for any number of queued items.
///
/// Thread safety: tryPush() from one producer thread at a time; the handler
/// runs on the I/O thread. Keep it in a std::shared_ptr, as a posted wake-up
/// holds a reference.
template <typename T>
class Inbox : public std::enable_shared_from_this<Inbox<T>> {
public:
  using Handler = std::function<void(T)>;

  Inbox(boost::asio::io_context &Io, std::size_t Capacity, Handler OnItem)
      : Io(Io), Queue(Capacity), OnItem(std::move(OnItem)) {}
  Inbox(const Inbox &) = delete;
  Inbox &operator=(const Inbox &) = delete;

  /// Returns false, leaving \p Item untouched, when the ring is full.
  bool tryPush(T &Item) {
    if (!Queue.tryPush(Item))
      return false;

    wake();
    return true;
  }

  /// Drops queued and later items. Call from the I/O thread.
  void close() { OnItem = nullptr; }

private:
  void wake() {
    if (WakePending.exchange(true))
      return;

    boost::asio::post(Io, [Self = this->shared_from_this()] { Self->drain(); });
  }

  void drain() {
    // Cleared first: an item pushed during the loop posts another wake-up.
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
