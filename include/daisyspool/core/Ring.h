#ifndef DAISYSPOOL_CORE_RING_H
#define DAISYSPOOL_CORE_RING_H

#include <boost/lockfree/spsc_queue.hpp>

#include <cstddef>
#include <optional>
#include <utility>

namespace daisyspool {

/// Bounded queue from one producer thread to one consumer thread.
///
/// A push to a full ring fails instead of growing the ring or blocking, so that
/// the producer decides how to handle an overloaded consumer.
///
/// Thread safety: one thread may push while another pops.
template <typename T> class Ring {
public:
  /// Precondition: \p Capacity is at least 1.
  explicit Ring(std::size_t Capacity) : Queue(Capacity) {}
  Ring(const Ring &) = delete;
  Ring &operator=(const Ring &) = delete;

  /// Producer only. Returns false, leaving \p Item untouched, when full.
  bool tryPush(T &Item) {
    if (Queue.write_available() == 0)
      return false;

    return Queue.push(std::move(Item));
  }

  /// Consumer only. Returns nothing when empty.
  std::optional<T> tryPop() {
    T Item;
    if (!Queue.pop(Item))
      return std::nullopt;

    return Item;
  }

private:
  boost::lockfree::spsc_queue<T> Queue;
};

} // namespace daisyspool

#endif // DAISYSPOOL_CORE_RING_H
