#ifndef DAISYSPOOL_CONFIG_CONFIGSTORE_H
#define DAISYSPOOL_CONFIG_CONFIGSTORE_H

#include "daisyspool/config/ConfigDocument.h"
#include "daisyspool/platform/TableService.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace daisyspool {

/// Thrown if another change was accepted after the version on which a change is
/// based. Nothing was written.
class ConfigConflict : public Error {
public:
  ConfigConflict(ConfigVersion Expected, ConfigVersion Current);

  ConfigVersion expected() const { return Expected; }
  ConfigVersion current() const { return Current; }

private:
  ConfigVersion Expected;
  ConfigVersion Current;
};

/// Thrown if the id of an accepted change is used again for another request.
class ChangeIdReused : public Error {
  using Error::Error;
};

/// Content of the head row: partition `config`, sort key `head`.
struct ConfigHead {
  ConfigVersion Version;
  std::uint64_t Hash = 0;
  /// The latest version of which a snapshot is stored; 0 if there is none.
  ConfigVersion Snapshot;
  std::uint32_t SnapshotParts = 0;
};

/// Identifies a request for a change and its operator. The digest covers the
/// operator's request as it was sent, so that a repeated request is recognised
/// even after other changes were accepted.
struct ChangeOrigin {
  ChangeId Id;
  OperatorId Operator;
  std::uint64_t RequestDigest = 0;
};

struct AcceptedChange {
  ConfigVersion Version;
  /// Whether an earlier call with the same change id was accepted.
  bool Repeated = false;
};

/// Stores the configuration in a table: a head row, the history of changes, and
/// a snapshot every SnapshotInterval changes. The head is written on condition
/// that its version is unchanged, so that of two concurrent operators one gets
/// ConfigConflict. See ConfigSpread for how an accepted change reaches every
/// process.
///
/// Thread safety: one thread per instance. Calls block.
class ConfigStore {
public:
  struct Options {
    /// Number of changes between snapshots. It limits how many changes load()
    /// applies.
    std::uint64_t SnapshotInterval = 64;
    /// Maximum number of attempts of a commit whose answer is lost.
    unsigned MaxAttempts = 3;
    /// Maximum size of the value in one row, below the table service's limit.
    std::size_t MaxPartBytes = 300 * 1024;
  };

  explicit ConfigStore(TableService &Table) : Table(Table) {}
  ConfigStore(TableService &Table, Options Config)
      : Table(Table), Config(Config) {}
  ConfigStore(const ConfigStore &) = delete;
  ConfigStore &operator=(const ConfigStore &) = delete;

  /// Reads the head; its version is 0 if no change was accepted yet. Throws the
  /// errors of TableService::read.
  ConfigHead head();

  /// Reads the whole current document. Throws the errors of TableService, and
  /// PlatformProtocolError if the rows are inconsistent.
  ConfigDocument load();

  /// Reads at most \p Limit accepted changes that follow version \p After, in
  /// order.
  std::vector<ConfigChange> changesAfter(ConfigVersion After,
                                         std::size_t Limit);

  /// Returns the version as which the change of \p Origin was accepted, or
  /// nothing if it was not. Throws ChangeIdReused if the accepted change with
  /// this id is from another request, and the errors of TableService::read.
  std::optional<AcceptedChange> findAccepted(const ChangeOrigin &Origin);

  /// Accepts the change from \p Base to \p Next. A repeated call with the same
  /// origin has no further effect. A change without edits is not stored.
  ///
  /// Throws ConfigConflict if the head is not at the version of \p Base,
  /// ChangeIdReused, PlatformThrottled (nothing changed) or
  /// PlatformUnavailable (effect unknown: call again with the same origin).
  AcceptedChange propose(const ConfigDocument &Base, const ConfigEntries &Next,
                         const ChangeOrigin &Origin);

private:
  AcceptedChange commit(const Transaction &Writes, ConfigVersion Version,
                        const ChangeOrigin &Origin);
  AcceptedChange tryCommit(const Transaction &Writes, ConfigVersion Version,
                           const ChangeOrigin &Origin);
  /// Checks after a failed commit whether the change was accepted. Throws
  /// PlatformUnavailable instead of PlatformThrottled, because the commit may
  /// have taken effect.
  std::optional<AcceptedChange> findCommitted(const ChangeOrigin &Origin);
  void writeSnapshot(const ConfigDocument &Document, ConfigHead &Head);
  std::vector<std::string> splitIntoParts(const std::string &Bytes) const;

  TableService &Table;
  Options Config;
};

} // namespace daisyspool

#endif // DAISYSPOOL_CONFIG_CONFIGSTORE_H
