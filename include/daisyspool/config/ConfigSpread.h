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

/// A message for another process's ConfigSpread.
struct ConfigOutgoing {
  ProcessId To;
  std::string Bytes;
};

/// Counts since the process started.
struct SpreadCounters {
  std::uint64_t Adopted = 0;
  std::uint64_t Stale = 0;
  std::uint64_t Fetches = 0;
  std::uint64_t Malformed = 0;
  /// Changes that did not fit the document of this process.
  std::uint64_t Mismatched = 0;
};

/// Brings accepted changes to every process: a process that learns a change
/// pushes it to 4 random members at once, and whoever hears of a higher version
/// fetches what is missing. Only the next higher version is ever adopted, so no
/// stale message reverts the configuration.
///
/// A pure state machine. Its messages are small enough for
/// SwimProtocol::payload(). See ConfigStore for how a change is accepted.
///
/// Thread safety: one thread at a time.
class ConfigSpread {
public:
  struct Options {
    std::size_t PushTo = 4;
    /// Time after which an unanswered fetch is repeated with another peer.
    Millis FetchTimeout{500};
    /// Age of the last confirmation at which a process is unconfirmed.
    Millis ConfirmWithin{7000};
    /// Changes kept for peers that are behind.
    std::size_t History = 512;
    /// Changes in the answer to one fetch.
    std::size_t ChangesInAnswer = 16;
    std::size_t FragmentBytes = 900;
  };

  /// Gives up to so many random reachable members.
  using PeerSource = std::function<std::vector<ProcessId>(std::size_t)>;

  ConfigSpread(Options Config, PeerSource Peers);
  ConfigSpread(const ConfigSpread &) = delete;
  ConfigSpread &operator=(const ConfigSpread &) = delete;

  /// Adopts a whole document, from the store or an entry, if its version is
  /// higher. Returns whether it was.
  bool adopt(ConfigDocument Document, TimePoint Now);

  /// Adopts a change that the caller has just committed or read from the
  /// store, and pushes it.
  std::vector<ConfigOutgoing> adoptAndPush(const ConfigChange &Change,
                                           TimePoint Now);

  /// Entries only: the store's head was read and had \p Version, at \p Now or
  /// earlier. Returns whether this process is behind it and has to read the
  /// missing changes.
  bool onStoreHead(ConfigVersion Version, TimePoint Now);

  /// Handles one message. Throws ProtocolError, after counting it, if it is
  /// malformed.
  std::vector<ConfigOutgoing> receive(const ProcessId &From,
                                      std::string_view Bytes, TimePoint Now);

  /// Handles the stamp of a datagram from \p Peer: its version, and the time
  /// since an entry confirmed that version with the store.
  std::vector<ConfigOutgoing> onStamp(const ProcessId &Peer,
                                      ConfigVersion Version,
                                      std::optional<Millis> Age, TimePoint Now);

  /// Whether the version in force was confirmed, or adopted, recently enough to
  /// take operators' changes. A version is durable before it is pushed, so a
  /// process has the whole bound to confirm a new one.
  bool confirmed(TimePoint Now) const;

  /// Time of the last confirmation of the version in force.
  std::optional<TimePoint> confirmedAt() const { return Confirmed; }

  /// Whether peers no longer hold the changes that are missing here, so that
  /// the whole document has to be read from an entry.
  bool needsDocument() const { return NeedsDocument; }

  const ConfigDocument &document() const { return Document; }
  const SpreadCounters &counters() const { return Counts; }

private:
  struct Partial {
    std::vector<std::string> Parts;
    std::size_t Missing = 0;
  };
  struct Push;

  std::vector<ConfigOutgoing> push(const ConfigChange &Change);
  std::vector<ConfigOutgoing> fetch(const ProcessId &Peer, TimePoint Now);
  std::vector<ConfigOutgoing> onFetch(const ProcessId &From,
                                      ConfigVersion Have) const;
  std::vector<ConfigOutgoing> onPush(const ProcessId &From, Push Part,
                                     TimePoint Now);
  bool adoptChange(const ConfigChange &Change, TimePoint Now);
  void fragment(std::vector<ConfigOutgoing> &Out, const ProcessId &To,
                const ConfigChange &Change, bool Fresh) const;

  Options Config;
  PeerSource Peers;
  ConfigDocument Document;
  std::deque<ConfigChange> History;
  std::map<ConfigVersion, Partial> Partials;
  std::map<ConfigVersion, ConfigChange> Waiting;
  std::optional<TimePoint> Confirmed;
  std::optional<TimePoint> Adopted;
  std::optional<TimePoint> FetchUntil;
  bool NeedsDocument = false;
  SpreadCounters Counts;
};

} // namespace daisyspool

#endif // DAISYSPOOL_CONFIG_CONFIGSPREAD_H
