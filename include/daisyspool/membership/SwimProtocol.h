#ifndef DAISYSPOOL_MEMBERSHIP_SWIMPROTOCOL_H
#define DAISYSPOOL_MEMBERSHIP_SWIMPROTOCOL_H

#include "daisyspool/core/Random.h"
#include "daisyspool/membership/Datagram.h"
#include "daisyspool/membership/MembershipTable.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace daisyspool {

/// A datagram to send.
struct Outgoing {
  MemberAddress To;
  std::string Bytes;
};

/// An entry as listed in the table service.
struct ListedEntry {
  ProcessId Id;
  MemberAddress Address;
};

/// Configuration stamp received from a peer.
struct PeerStamp {
  ProcessId Peer;
  ConfigStamp Stamp;
};

/// Payload received from a peer.
struct PeerPayload {
  ProcessId Peer;
  std::string Bytes;
};

/// Event counts since the protocol object was created.
struct SwimCounters {
  std::uint64_t Sent = 0;
  std::uint64_t SentBytes = 0;
  std::uint64_t Received = 0;
  std::uint64_t ReceivedBytes = 0;
  std::uint64_t Malformed = 0;
  std::uint64_t OtherVersion = 0;
  /// Datagrams dropped by the rate limit before sending.
  std::uint64_t Limited = 0;
  std::uint64_t Suspected = 0;
  std::uint64_t Refuted = 0;
  std::uint64_t DeclaredDead = 0;
};

/// SWIM membership (Das, Gupta, Motivala 2002) with suspicion, piggybacked
/// updates, anti-entropy between tables and probes of members recorded as dead.
///
/// A state machine without I/O: call tick() at nextWake() or earlier, call
/// receive() for each datagram, and send the datagrams that they return.
/// UdpDriver does this on a socket.
///
/// Thread safety: one thread at a time.
class SwimProtocol {
public:
  struct Options {
    Millis ProbePeriod{1000};
    /// Time for the target's answer before other members are asked to probe it.
    Millis ProbeTimeout{300};
    std::size_t IndirectProbes = 3;
    /// A suspicion lasts this many probe periods times log10 of the reachable
    /// members.
    double SuspicionFactor = 4;
    /// An update is attached to this many datagrams times log10 of the
    /// reachable members.
    double RetransmitFactor = 4;
    /// At most one probe in this many is directed at an entry, which spreads
    /// the entries' confirmations of the configuration.
    std::uint64_t EntryProbeEvery = 5;
    /// Limit on such probes that each entry receives per second, on average.
    double EntryProbesPerSecond = 8;
    Millis SyncPeriod{30000};
    /// Delay before the next comparison if the last one found a difference.
    Millis SyncAgain{2000};
    Millis DeadProbePeriod{10000};
    /// Dead members are kept well beyond an hour, so that a network partition
    /// of that length heals.
    Millis ForgetAfter{6 * 3600 * 1000};
    /// Long-run limit on all bytes sent. Membership messages may burst by one
    /// second of this rate, payloads by the unused rate of 16 seconds.
    std::size_t BytesPerSecond = 4096;
    /// Maximum number of entries that are sent a leave or a change of info
    /// directly.
    std::size_t NoticeTargets = 32;
    /// Listed entries contacted per call of syncWithListed(). Several are
    /// tried, because rows of dead entries remain listed for some time.
    std::size_t ListedSyncTargets = 2;
    unsigned NoticeRepeats = 3;
  };

  using ChangeListener =
      std::function<void(const Member &, std::optional<MemberState> Before)>;

  /// Preconditions: \p Id and the address of \p Info are not empty; \p First
  /// is, where possible, higher than the incarnations of earlier processes with
  /// the same id, for example the wall-clock time in milliseconds.
  SwimProtocol(Options Config, ProcessId Id, Incarnation First, MemberInfo Info,
               std::uint64_t Seed, TimePoint Now);
  SwimProtocol(const SwimProtocol &) = delete;
  SwimProtocol &operator=(const SwimProtocol &) = delete;

  /// Applies updates from outside the protocol, for example from an
  /// AnnounceReply, and compares tables with a random member at the next tick.
  void learn(const std::vector<MemberUpdate> &Sample, TimePoint Now);

  /// Joins through the gossip addresses \p Seeds, whose ids need not be known.
  /// The seeds are contacted again as long as no other member is reachable.
  std::vector<Outgoing> join(std::vector<MemberAddress> Seeds, TimePoint Now);

  /// Entries only: compares tables with listed entries that are not reachable
  /// in this table. This merges two parts of a membership that have no records
  /// of each other because all processes of one part were replaced during a
  /// network partition.
  std::vector<Outgoing> syncWithListed(const std::vector<ListedEntry> &Listed,
                                       TimePoint Now);

  /// Whether any entry is reachable. An agent without a reachable entry
  /// announces itself again through the balancer and passes the answer to
  /// learn().
  bool seesEntry() const { return Table.entryCount() != 0; }

  /// Updates about this member and up to \p Count random reachable ones, to
  /// pass to learn() of a process that joins.
  std::vector<MemberUpdate> sampleForNewcomer(std::size_t Count);

  /// Runs the timers that have expired at \p Now, which must not be earlier
  /// than in the previous call.
  std::vector<Outgoing> tick(TimePoint Now);

  /// Handles one datagram. Throws MalformedDatagram or UnsupportedVersion
  /// after counting it, with no other effect.
  std::vector<Outgoing> receive(const MemberAddress &From,
                                std::string_view Bytes, TimePoint Now);

  /// The answer to a datagram of an unsupported protocol version.
  std::vector<Outgoing> refuse(const MemberAddress &From, TimePoint Now);

  /// Time by which tick() must be called next.
  TimePoint nextWake() const;

  /// Announces a change of this process's own info.
  std::vector<Outgoing> changeInfo(MemberInfo Info, TimePoint Now);

  /// Announces that this process leaves; it answers no probes afterwards. The
  /// driver keeps calling tick() until noticesDone().
  std::vector<Outgoing> leave(TimePoint Now);
  bool noticesDone() const { return NoticesLeft == 0; }

  /// Sets the stamp that datagrams carry: the version in force here and the
  /// time at which an entry last confirmed it.
  void setConfigStamp(ConfigVersion NewVersion,
                      std::optional<TimePoint> NewConfirmedAt);

  /// Wraps another module's bytes in a datagram for \p To. Returns nothing if
  /// the member is unknown, the bytes do not fit or the rate limit is reached.
  std::optional<Outgoing> payload(const ProcessId &To, std::string Bytes,
                                  TimePoint Now);

  /// Payloads and stamps received since the last call.
  std::vector<PeerPayload> takePayloads();
  std::vector<PeerStamp> takeStamps();

  /// Sets the listener that is called when the state or the info of another
  /// member changes. \c Before is empty for a new member.
  void onChange(ChangeListener Listener) { OnChanged = std::move(Listener); }

  const MembershipTable &table() const { return Table; }
  const SwimCounters &counters() const { return Counts; }
  const ProcessId &self() const { return Self; }
  Incarnation incarnation() const { return Number; }

  /// Random reachable members other than this one.
  std::vector<ProcessId> randomPeers(std::size_t Count);

private:
  using Slot = MembershipTable::Slot;

  /// The last probe sent, until it is acknowledged.
  struct PendingProbe {
    std::uint64_t Sequence = 0;
    ProcessId Target;
    TimePoint DirectUntil;
    bool Indirect = false;
  };
  /// A probe sent on behalf of another member.
  struct Relay {
    std::uint64_t Sequence = 0;
    std::uint64_t OriginSequence = 0;
    MemberAddress Origin;
    TimePoint Until;
  };
  struct Suspicion {
    ProcessId Id;
    Incarnation Number;
    TimePoint Until;
  };
  /// An update that waits to be attached to datagrams; one of an older
  /// generation than the latest for its member is skipped.
  struct QueuedUpdate {
    ProcessId Id;
    std::uint64_t Generation = 0;
    bool WithInfo = false;
  };
  struct BodyHandler;

  /// Origin of an update: disseminated by gossip, read from another process's
  /// table, or produced by this process's timers.
  enum class Source { Gossip, Table, Local };

  void merge(MemberUpdate Update, TimePoint Now, Source From = Source::Gossip);
  void refute(const MemberUpdate &Update);
  void enqueue(const ProcessId &Id, bool WithInfo);
  void observeSender(const Datagram &Message, TimePoint Now);
  void probeReportedDead(std::vector<Outgoing> &Out, TimePoint Now);
  void requestInfoAndCorrectSender(std::vector<Outgoing> &Out,
                                   const MemberAddress &From,
                                   const Datagram &Message, TimePoint Now);
  void attachQueued(Datagram &Message, std::size_t Room);
  void attachRecordOf(const Member &To, Datagram &Message);
  void send(std::vector<Outgoing> &Out, const MemberAddress &To,
            const Member *Peer, DatagramBody Body, TimePoint Now);
  void sendUpdates(std::vector<Outgoing> &Out, const MemberAddress &To,
                   std::vector<MemberUpdate> Updates,
                   std::vector<std::uint32_t> Wanted, TimePoint Now);
  void sendRateLimited(std::vector<Outgoing> &Out, const MemberAddress &To,
                       const Datagram &Message);
  Datagram envelope(DatagramBody Body, TimePoint Now) const;
  void refill(TimePoint Now);

  void resumeAfterPause(TimePoint Now);
  void expireSuspicions(TimePoint Now);
  void requestIndirectProbes(std::vector<Outgoing> &Out, TimePoint Now);
  void startProbe(std::vector<Outgoing> &Out, TimePoint Now);
  void startSync(std::vector<Outgoing> &Out, TimePoint Now);
  void probeDead(std::vector<Outgoing> &Out, TimePoint Now);
  void sendNotices(std::vector<Outgoing> &Out, TimePoint Now);
  const Member *nextProbeTarget();
  void sendBucketSummaries(std::vector<Outgoing> &Out, const MemberAddress &To,
                           const std::vector<std::uint8_t> &Different,
                           TimePoint Now);
  void answerBucketSummaries(std::vector<Outgoing> &Out,
                             const MemberAddress &To, const SyncBuckets &Theirs,
                             TimePoint Now);
  double logMemberCount() const;
  Duration jittered(Millis Period);
  bool isPeer(const Member &Other) const {
    return Other.reachable() && Other.Id != Self;
  }

  Options Config;
  ProcessId Self;
  Incarnation Number;
  MemberInfo Info;
  Random Rng;
  MembershipTable Table;
  SwimCounters Counts;
  ChangeListener OnChanged;

  ConfigVersion ConfigInForce;
  std::optional<TimePoint> ConfigConfirmedAt;
  std::vector<PeerPayload> Payloads;
  std::vector<PeerStamp> Stamps;

  std::uint64_t NextSequence = 1;
  std::optional<PendingProbe> Pending;
  std::vector<Relay> Relays;
  std::vector<Suspicion> Suspicions;
  std::vector<Slot> ProbeOrder;
  /// Updates to attach, indexed by the number of transmissions so far.
  std::vector<std::deque<QueuedUpdate>> UpdateQueues;
  std::unordered_map<ProcessId, std::uint64_t> Generations;
  std::uint64_t NextGeneration = 1;
  std::vector<ProcessId> MissingInfo;
  std::vector<MemberAddress> Seeds;
  /// Members reported dead by others, to be probed directly.
  std::vector<ProcessId> ReportedDead;

  /// Bytes that membership messages may send now, and the limit for membership
  /// messages and payloads together.
  double MembershipTokens = 0;
  double TotalTokens = 0;
  TimePoint LastRefill;
  TimePoint LastTick;
  TimePoint NextProbe;
  TimePoint NextSync;
  TimePoint NextDeadProbe;
  TimePoint NextForget;
  TimePoint NextNotice;
  unsigned NoticesLeft = 0;
  bool Leaving = false;
};

} // namespace daisyspool

#endif // DAISYSPOOL_MEMBERSHIP_SWIMPROTOCOL_H
