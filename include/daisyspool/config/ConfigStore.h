#ifndef DAISYSPOOL_CONFIG_CONFIGSTORE_H
#define DAISYSPOOL_CONFIG_CONFIGSTORE_H

#include "daisyspool/config/ConfigDocument.h"
#include "daisyspool/platform/TableService.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace daisyspool {

/// Another change was accepted since the version that a change is based on.
/// Nothing changed.
class ConfigConflict : public Error {
public:
  ConfigConflict(ConfigVersion Expected, ConfigVersion Current);

  ConfigVersion expected() const { return Expected; }
  ConfigVersion current() const { return Current; }

private:
  ConfigVersion Expected;
  ConfigVersion Current;
};

/// The id of an accepted change, used again for another one.
class ChangeIdReused : public Error {
  using Error::Error;
};

/// Content of the row `config`/`head`.
struct ConfigHead {
  ConfigVersion Version;
  std::uint64_t Hash = 0;
  /// The latest version that is stored whole.
  ConfigVersion Snapshot;
  std::uint32_t SnapshotParts = 0;
};

/// Who asks for a change. The digest covers the operator's request as it was
/// sent, so that a repeat is recognised after other changes were accepted.
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

/// The durable configuration: a head row, one history row a change, and a
/// snapshot now and then. The head is written conditionally on its version, so
/// one of two racing operators gets ConfigConflict. See ConfigSpread for how an
/// accepted change reaches every process.
///
/// Thread safety: one thread per instance. Calls block.
class ConfigStore {
public:
  struct Options {
    /// Changes between snapshots, which bounds the replay of a new process.
    std::uint64_t SnapshotEvery = 64;
    /// Tries of one commit whose answer is lost.
    unsigned Attempts = 3;
    /// Below the table service's limit on one row.
    std::size_t PartBytes = 300 * 1024;
  };

  explicit ConfigStore(TableService &Table) : Table(Table) {}
  ConfigStore(TableService &Table, Options Config)
      : Table(Table), Config(Config) {}
  ConfigStore(const ConfigStore &) = delete;
  ConfigStore &operator=(const ConfigStore &) = delete;

  /// The head; version 0 if nothing was accepted yet. Throws the errors of
  /// TableService::read.
  ConfigHead head();

  /// The whole current document. Throws the errors of TableService, and
  /// PlatformProtocolError if the rows do not fit together.
  ConfigDocument load();

  /// The accepted changes from \p After on, in order, at most \p Limit.
  std::vector<ConfigChange> changesAfter(ConfigVersion After,
                                         std::size_t Limit);

  /// The version as which the change of \p Origin was accepted, if it was.
  /// Throws ChangeIdReused if that was another request, and the errors of
  /// TableService::read.
  std::optional<AcceptedChange> findAccepted(const ChangeOrigin &Origin);

  /// Accepts the change from \p Base to \p Next. Repeating a call with the same
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
  AcceptedChange commitOnce(const Transaction &Writes, ConfigVersion Version,
                            const ChangeOrigin &Origin);
  std::optional<AcceptedChange> readBack(const ChangeOrigin &Origin);
  void writeSnapshot(const ConfigDocument &Of, ConfigHead &Head);
  std::vector<std::string> split(const std::string &Bytes) const;

  TableService &Table;
  Options Config;
};

} // namespace daisyspool

#endif // DAISYSPOOL_CONFIG_CONFIGSTORE_H
