#ifndef DAISYSPOOL_CONFIG_CONFIGSPREAD_H
#define DAISYSPOOL_CONFIG_CONFIGSPREAD_H

#include "daisyspool/config/ConfigDocument.h"
#include "daisyspool/core/Clock.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisyspool {

/// A message to the ConfigSpread of another process.
struct ConfigOutgoing {
  ProcessId To;
  std::string Bytes;
};

/// Counts since the process started.
struct ConfigSpreadCounters {
  std::uint64_t Adopted = 0;
  std::uint64_t Stale = 0;
  std::uint64_t Fetches = 0;
  std::uint64_t Malformed = 0;
  /// Changes of the next version that did not apply to the document of this
  /// process.
  std::uint64_t Mismatched = 0;
};

/// Distributes accepted changes to every process by rumor spreading: a process
/// that adopts a pushed change immediately pushes it to 4 random members, and a
/// process that receives a higher version number fetches the missing changes.
/// A change is adopted only if it leads to the next version, so a stale message
/// cannot revert the configuration.
///
/// A state machine without I/O. Its messages are small enough for
/// SwimProtocol::payload(). See ConfigStore for how a change is accepted.
///
/// Thread safety: one thread at a time.
class ConfigSpread {
public:
  struct Options {
    /// Number of members to which a change is pushed.
    std::size_t PushFanout = 4;
    /// Time to wait for the answer to a fetch before another peer is asked.
    Millis FetchTimeout{500};
    /// Maximum age of the last confirmation. If it is older, the process is
    /// unconfirmed.
    Millis MaxConfirmationAge{7000};
    /// Maximum number of changes kept for peers that are behind.
    std::size_t HistoryLimit = 512;
    /// Maximum number of changes in the answer to one fetch.
    std::size_t MaxFetchedChanges = 16;
    std::size_t MaxFragmentBytes = 900;
  };

  /// Returns at most the given number of random reachable members.
  using PeerSource = std::function<std::vector<ProcessId>(std::size_t)>;

  ConfigSpread(Options Config, PeerSource Peers);
  ConfigSpread(const ConfigSpread &) = delete;
  ConfigSpread &operator=(const ConfigSpread &) = delete;

  /// Adopts a whole document, from the store or an entry, if its version is
  /// higher than that of this process. Returns whether it was adopted.
  bool adopt(ConfigDocument Document, TimePoint Now);

  /// Adopts a change that the caller has just committed or read from the
  /// store. Returns the messages that push it to other members.
  std::vector<ConfigOutgoing> adoptAndPush(const ConfigChange &Change,
                                           TimePoint Now);

  /// Entries only: reports that the store's head was read at \p Now or earlier
  /// and had \p Version. Returns whether this process has an older version and
  /// must read the missing changes.
  bool onStoreHead(ConfigVersion Version, TimePoint Now);

  /// Handles one message and returns the messages to send. Throws ProtocolError
  /// if the message is malformed, and counts it.
  std::vector<ConfigOutgoing> receive(const ProcessId &From,
                                      std::string_view Bytes, TimePoint Now);

  /// Handles the configuration stamp of a datagram from \p Peer: the version of
  /// the peer, and the time since an entry confirmed that version with the
  /// store. Returns the messages to send.
  std::vector<ConfigOutgoing> onStamp(const ProcessId &Peer,
                                      ConfigVersion Version,
                                      std::optional<Millis> Age, TimePoint Now);

  /// Whether the version in force was confirmed or adopted within
  /// MaxConfirmationAge. Only then may operators' changes be accepted. Adoption
  /// counts as a confirmation because a version is durable before it is pushed.
  bool confirmed(TimePoint Now) const;

  /// Time of the last confirmation of the version in force, if there was one.
  std::optional<TimePoint> confirmedAt() const { return ConfirmedTime; }

  /// Whether the whole document must be read from an entry, because a peer no
  /// longer has the missing changes or a change did not apply.
  bool needsDocument() const { return NeedsDocument; }

  const ConfigDocument &document() const { return Document; }
  const ConfigSpreadCounters &counters() const { return Counts; }

private:
  /// The fragments of a change that were received so far.
  struct PartialChange {
    std::vector<std::string> Parts;
    std::size_t MissingCount = 0;
  };
  struct Push;

  std::vector<ConfigOutgoing> pushToPeers(const ConfigChange &Change);
  std::vector<ConfigOutgoing> fetchFrom(const ProcessId &Peer, TimePoint Now);
  std::vector<ConfigOutgoing> onFetch(const ProcessId &From,
                                      ConfigVersion PeerVersion) const;
  std::vector<ConfigOutgoing> onPush(const ProcessId &From, Push Fragment,
                                     TimePoint Now);
  bool adoptChange(const ConfigChange &Change, TimePoint Now);
  void appendFragments(std::vector<ConfigOutgoing> &Out, const ProcessId &To,
                       const ConfigChange &Change, bool Relay) const;

  Options Config;
  PeerSource Peers;
  ConfigDocument Document;
  std::deque<ConfigChange> History;
  std::map<ConfigVersion, PartialChange> PartialChanges;
  /// Complete changes that were received before their predecessors.
  std::map<ConfigVersion, ConfigChange> EarlyChanges;
  std::optional<TimePoint> ConfirmedTime;
  std::optional<TimePoint> AdoptedTime;
  /// No other fetch is sent before this time.
  std::optional<TimePoint> FetchDeadline;
  bool NeedsDocument = false;
  ConfigSpreadCounters Counts;
};

} // namespace daisyspool

#endif // DAISYSPOOL_CONFIG_CONFIGSPREAD_H
