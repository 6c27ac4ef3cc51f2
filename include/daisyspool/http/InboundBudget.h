#ifndef DAISYSPOOL_HTTP_INBOUNDBUDGET_H
#define DAISYSPOOL_HTTP_INBOUNDBUDGET_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Units.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>

namespace daisyspool::http {

class InboundShare;

/// Why a connection was refused or closed by the limits of its process.
enum class InboundEvent {
  /// Closed for its memory: it held the most for the longest without progress.
  EvictedForMemory,
  /// Closed for its descriptor.
  EvictedForDescriptors,
  /// Closed because its request arrived below the minimum rate, or its answer
  /// was not read in time.
  TooSlow,
  /// Refused because there was no memory for its request.
  NoMemory,
  /// Refused because no connection could be closed for its descriptor.
  NoDescriptors,
  /// Refused because its request exceeds a limit.
  TooLarge,
  /// Closed because it sent too much behind a request without an answer.
  TooManyPipelined,
  /// Refused because its request is malformed.
  Malformed
};

inline constexpr std::size_t InboundEventCount = 8;

/// The name of \p Event in logs and metrics.
const char *toString(InboundEvent Event);

/// Accounts for the memory and descriptors that the connections of one process
/// hold for callers, and decides which connections are refused or closed.
///
/// Share one among all servers of a process. Load pattern: clients that the
/// operators do not control open many connections and stop just short of the
/// end of a request, or never read their answers. Slow but honest callers keep
/// what they have sent, and ordinary requests are still accepted.
///
/// Thread safety: one thread.
class InboundBudget {
public:
  struct Limits {
    /// Bytes that all connections together may hold.
    std::size_t ProcessBytes = 256 * 1024 * 1024;
    /// Bytes that one connection may hold.
    std::size_t ConnectionBytes = 128 * 1024 * 1024;
    /// The part of ProcessBytes that only small connections may use.
    std::size_t ReservedBytes = 16 * 1024 * 1024;
    /// A connection that holds at most this is small.
    std::size_t SmallBytes = 32 * 1024;
    std::size_t Connections = 65536;
    /// A connection without progress for this long may lose its memory to
    /// another. Covers the retransmission of a lost packet.
    Millis StallTime{1000};
    /// A request that makes no progress for this long is too slow.
    Millis MaxStall{5000};
    /// Bytes that count as progress: fewer do not keep a connection open.
    std::size_t ProgressBytes = 1024;
  };

  /// The limits of a process that its platform ends above \p Memory and that
  /// may have \p Descriptors open.
  static Limits limitsFor(MebiBytes Memory, std::size_t Descriptors);

  /// Called for each connection that is refused or closed.
  using Observer = std::function<void(InboundEvent)>;

  explicit InboundBudget(Limits Config, Observer OnEvent = {});
  InboundBudget(const InboundBudget &) = delete;
  InboundBudget &operator=(const InboundBudget &) = delete;
  ~InboundBudget();

  /// Admits a connection, closing an idle or stalled one if there are too many.
  /// \p Close closes the admitted connection later and may end its share.
  /// Returns null if the connection must be refused. The share must not outlive
  /// this object.
  std::unique_ptr<InboundShare> open(std::function<void(InboundEvent)> Close,
                                     TimePoint Now);

  /// Reports a connection that the server refused or closed itself.
  void report(InboundEvent Event);

  std::size_t heldBytes() const { return Total; }
  std::size_t connections() const { return Shares.size(); }
  const Limits &limits() const { return Config; }

private:
  friend class InboundShare;

  std::size_t allowedBytes(const InboundShare &Share) const;
  bool makeRoom(InboundShare &Requester, TimePoint Now);
  /// The share that has held most for the longest without progress for at least
  /// \p MinStall; null if there is none.
  InboundShare *heaviestStalled(const InboundShare *Except, Duration MinStall,
                                TimePoint Now) const;
  InboundShare *longestIdle() const;
  void evict(InboundShare &Victim, InboundEvent Event);

  Limits Config;
  Observer OnEvent;
  std::list<InboundShare *> Shares;
  std::size_t Total = 0;
};

/// What one connection holds of an InboundBudget. Destroying it releases all.
///
/// Thread safety: the thread of its budget.
class InboundShare {
public:
  /// Memory of a connection beyond its request: its objects and first buffer.
  static constexpr std::size_t BaseBytes = 6 * 1024;

  InboundShare(const InboundShare &) = delete;
  InboundShare &operator=(const InboundShare &) = delete;
  ~InboundShare();

  /// The connection holds \p Bytes of an incomplete request, of which it has
  /// received \p Received since the last call and misses \p Missing. Returns
  /// false if the request must be refused. Other connections may be closed.
  [[nodiscard]] bool receive(std::size_t Bytes, std::size_t Received,
                             std::size_t Missing, TimePoint Now);
  /// When the request is too slow unless it makes progress before.
  TimePoint tooSlowAt() const;
  /// The request is complete and its answer is being prepared. Until then the
  /// connection is not closed for others.
  void process(TimePoint Now);
  /// An answer of \p Bytes is being sent.
  void send(std::size_t Bytes, TimePoint Now);
  /// The connection waits for its next request.
  void idle(TimePoint Now);

private:
  friend class InboundBudget;
  enum class Phase { Idle, Receiving, Processing, Sending };

  InboundShare(InboundBudget &Owner, std::function<void(InboundEvent)> Close,
               TimePoint Now);
  void change(Phase Next, std::size_t Bytes, TimePoint Now);
  bool closable() const { return Current != Phase::Processing; }

  InboundBudget &Owner;
  std::function<void(InboundEvent)> Close;
  std::list<InboundShare *>::iterator Position;
  Phase Current = Phase::Idle;
  std::size_t Held = BaseBytes;
  std::size_t Unreported = 0;
  TimePoint LastProgress;
};

} // namespace daisyspool::http

#endif // DAISYSPOOL_HTTP_INBOUNDBUDGET_H
