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

/// Configuration stamp heard from a peer.
struct PeerStamp {
  ProcessId Peer;
  ConfigStamp Stamp;
};

/// Payload received from a peer.
struct PeerPayload {
  ProcessId Peer;
  std::string Bytes;
};

/// Counts since the process started.
struct SwimCounters {
  std::uint64_t Sent = 0;
  std::uint64_t SentBytes = 0;
  std::uint64_t Received = 0;
  std::uint64_t ReceivedBytes = 0;
  std::uint64_t Malformed = 0;
  std::uint64_t OtherVersion = 0;
  /// Datagrams not sent because of the rate limit.
  std::uint64_t Limited = 0;
  std::uint64_t Suspected = 0;
  std::uint64_t Refuted = 0;
  std::uint64_t DeclaredDead = 0;
};

/// SWIM membership (Das, Gupta, Motivala 2002) with suspicion, piggybacked
/// updates, anti-entropy and probes of remembered dead members.
///
/// A pure state machine: call tick() at nextWake() or earlier, receive() for
/// each datagram, and send what they return. UdpDriver does this on a socket.
///
/// Thread safety: one thread at a time.
class SwimProtocol {
public:
  struct Options {
    Millis ProbePeriod{1000};
    /// Time for a direct answer before other members are asked to probe.
    Millis ProbeTimeout{300};
    std::size_t IndirectProbes = 3;
    /// Suspicion lasts this many probe periods times log10 of the members.
    double SuspicionFactor = 4;
    /// An update travels on this many datagrams times log10 of the members.
    double RetransmitFactor = 4;
    /// Every so many probes one goes to an entry, which spreads entries'
    /// confirmations of the configuration.
    std::uint64_t EntryProbeEvery = 5;
    /// Probes a second that an entry should receive from that rule.
    double EntryProbesPerSecond = 8;
    Millis SyncPeriod{30000};
    /// Wait after an exchange that found a difference.
    Millis SyncAgain{2000};
    Millis DeadProbePeriod{10000};
    /// A dead member is remembered well beyond an hour's cut.
    Millis ForgetAfter{6 * 3600 * 1000};
    /// Long-run limit on all that is sent. Membership may burst by one second
    /// of it, payloads by 16 seconds that were not used.
    std::size_t BytesPerSecond = 4096;
    /// Entries that hear of a leave or drain directly.
    std::size_t NoticeTargets = 32;
    /// Listed entries greeted at once, since rows of dead entries stay a while.
    std::size_t ListedSyncTargets = 2;
    unsigned NoticeRepeats = 3;
  };

  using ChangeListener =
      std::function<void(const Member &, std::optional<MemberState> Before)>;

  /// Preconditions: \p Id and the address of \p Info are not empty; \p First
  /// is higher than that of an earlier life of the same id where possible, for
  /// example wall-clock milliseconds.
  SwimProtocol(Options Config, ProcessId Id, Incarnation First, MemberInfo Info,
               std::uint64_t Seed, TimePoint Now);
  SwimProtocol(const SwimProtocol &) = delete;
  SwimProtocol &operator=(const SwimProtocol &) = delete;

  /// Adds members learnt elsewhere, for example from an AnnounceReply, and
  /// compares tables with one of them at the next tick.
  void learn(const std::vector<MemberUpdate> &Sample, TimePoint Now);

  /// Greets the gossip sockets of \p Seeds, whose ids are not yet known, and
  /// repeats it while no other member is known.
  std::vector<Outgoing> join(std::vector<MemberAddress> Seeds, TimePoint Now);

  /// Entries only: compares tables with listed entries that are not reachable
  /// here. This joins two parts of a membership that have no memory of each
  /// other because all processes of one were replaced during a cut.
  std::vector<Outgoing> syncWithListed(const std::vector<ListedEntry> &Listed,
                                       TimePoint Now);

  /// Whether an entry is reachable. An agent that sees none announces itself
  /// again through the balancer and calls learn() with the answer.
  bool seesEntry() const { return Table.entryCount() != 0; }

  /// Up to \p Count reachable members, this one included, for a newcomer.
  std::vector<MemberUpdate> sampleForNewcomer(std::size_t Count);

  /// Does what is due at \p Now. Time does not go back between calls.
  std::vector<Outgoing> tick(TimePoint Now);

  /// Handles one datagram. Throws MalformedDatagram or UnsupportedVersion
  /// after counting it, with no other effect.
  std::vector<Outgoing> receive(const MemberAddress &From,
                                std::string_view Bytes, TimePoint Now);

  /// The answer to a datagram of another version.
  std::vector<Outgoing> refuse(const MemberAddress &From, TimePoint Now);

  /// Time of the next call of tick().
  TimePoint nextWake() const;

  /// Announces a change of this process's own info.
  std::vector<Outgoing> changeInfo(MemberInfo Info, TimePoint Now);

  /// Announces that this process leaves; it answers no probes afterwards. The
  /// driver keeps calling tick() until noticesDone().
  std::vector<Outgoing> leave(TimePoint Now);
  bool noticesDone() const { return NoticesLeft == 0; }

  /// The stamp for datagrams: the version in force here, and when an entry
  /// last confirmed it.
  void setConfigStamp(ConfigVersion Version,
                      std::optional<TimePoint> Confirmed);

  /// Wraps another module's bytes for \p To. Returns nothing if the member is
  /// unknown, the bytes do not fit or the rate limit is reached.
  std::optional<Outgoing> payload(const ProcessId &To, std::string Bytes,
                                  TimePoint Now);

  /// Payloads and stamps received since the last call.
  std::vector<PeerPayload> takePayloads();
  std::vector<PeerStamp> takeStamps();

  void onChange(ChangeListener Listener) { Changed = std::move(Listener); }

  const MembershipTable &table() const { return Table; }
  const SwimCounters &counters() const { return Counts; }
  const ProcessId &self() const { return Self; }
  Incarnation incarnation() const { return Number; }

  /// Random reachable members other than this one.
  std::vector<ProcessId> randomPeers(std::size_t Count);

private:
  using Slot = MembershipTable::Slot;

  struct OpenProbe {
    std::uint64_t Sequence = 0;
    ProcessId Target;
    TimePoint DirectUntil;
    bool Indirect = false;
  };
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
  struct Queued {
    ProcessId Id;
    std::uint64_t Generation = 0;
    bool WithInfo = false;
  };
  struct BodyHandler;

  /// Where an update came from: news on its way, another process's table, or
  /// this process's own timers.
  enum class Source { Gossip, Table, Own };

  void merge(MemberUpdate Update, TimePoint Now, Source From = Source::Gossip);
  void refute(const MemberUpdate &Update);
  void enqueue(const ProcessId &Id, bool WithInfo);
  void observeSender(const Datagram &Message, TimePoint Now);
  void askDoubted(std::vector<Outgoing> &Out, TimePoint Now);
  void askAndCorrect(std::vector<Outgoing> &Out, const MemberAddress &From,
                     const Datagram &Message, TimePoint Now);
  void attachQueued(Datagram &Message, std::size_t Room);
  void attachRecordOf(const Member &To, Datagram &Message);
  void send(std::vector<Outgoing> &Out, const MemberAddress &To,
            const Member *Peer, DatagramBody Body, TimePoint Now);
  void sendUpdates(std::vector<Outgoing> &Out, const MemberAddress &To,
                   std::vector<MemberUpdate> Updates,
                   std::vector<std::uint32_t> Wanted, TimePoint Now);
  void emit(std::vector<Outgoing> &Out, const MemberAddress &To,
            const Datagram &Message);
  Datagram envelope(DatagramBody Body, TimePoint Now) const;
  void refill(TimePoint Now);

  void resumeAfterPause(TimePoint Now);
  void expireSuspicions(TimePoint Now);
  void askIndirectly(std::vector<Outgoing> &Out, TimePoint Now);
  void startProbe(std::vector<Outgoing> &Out, TimePoint Now);
  void startSync(std::vector<Outgoing> &Out, TimePoint Now);
  void probeDead(std::vector<Outgoing> &Out, TimePoint Now);
  void sendNotices(std::vector<Outgoing> &Out, TimePoint Now);
  const Member *nextProbeTarget();
  void sendSummaries(std::vector<Outgoing> &Out, const MemberAddress &To,
                     const std::vector<std::uint8_t> &Different, TimePoint Now);
  void answerSummaries(std::vector<Outgoing> &Out, const MemberAddress &To,
                       const SyncBuckets &Theirs, TimePoint Now);
  double logMembers() const;
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
  ChangeListener Changed;

  ConfigVersion Version;
  std::optional<TimePoint> Confirmed;
  std::vector<PeerPayload> Payloads;
  std::vector<PeerStamp> Stamps;

  std::uint64_t NextSequence = 1;
  std::optional<OpenProbe> Open;
  std::vector<Relay> Relays;
  std::vector<Suspicion> Suspicions;
  std::vector<Slot> ProbeOrder;
  std::vector<std::deque<Queued>> Queue;
  std::unordered_map<ProcessId, std::uint64_t> Generations;
  std::uint64_t NextGeneration = 1;
  std::vector<ProcessId> MissingInfo;
  std::vector<MemberAddress> Seeds;
  std::vector<ProcessId> Doubts;

  /// Bytes that membership may send now, and what everything together may.
  double Tokens = 0;
  double Saved = 0;
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
