#include "daisyspool/config/ConfigStore.h"

#include "daisyspool/core/Hash.h"
#include "daisyspool/wire/Adaptors.h"

#include <cassert>
#include <cstdio>

namespace daisyspool {

namespace {

constexpr const char *Partition = "config";
constexpr const char *HeadSortKey = "head";
constexpr std::size_t RowsPerQuery = 100;
constexpr std::size_t SnapshotRowsPerTransaction = 10;
/// Limits a change so that its history rows, the head row and the change id row
/// fit in one transaction.
constexpr std::size_t MaxHistoryParts = 12;

std::string partSortKey(const char *Kind, ConfigVersion Version,
                        std::size_t Part) {
  char Text[64];
  std::snprintf(Text, sizeof(Text), "%s/%020llu/%03zu", Kind,
                static_cast<unsigned long long>(Version.value()), Part);
  return Text;
}

template <typename... Fields> std::string packRow(const Fields &...Values) {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> To(Buffer);
  To.pack_array(sizeof...(Fields));
  (To.pack(Values), ...);
  return {Buffer.data(), Buffer.size()};
}

template <typename... Fields>
void unpackRow(const Row &From, Fields &...Values) {
  try {
    const auto Handle = msgpack::unpack(From.Value.data(), From.Value.size());
    msgpack::type::define_array<Fields...> Array(Values...);
    if (Handle.get().type != msgpack::type::ARRAY ||
        Handle.get().via.array.size != sizeof...(Fields))
      throw msgpack::type_error();
    Array.msgpack_unpack(Handle.get());
  } catch (const std::bad_cast &) {
    throw PlatformProtocolError("unreadable row config/" + From.Key.Sort);
  } catch (const msgpack::unpack_error &) {
    throw PlatformProtocolError("unreadable row config/" + From.Key.Sort);
  }
}

} // namespace

ConfigConflict::ConfigConflict(ConfigVersion Expected, ConfigVersion Current)
    : Error("change is based on version " + std::to_string(Expected.value()) +
            ", but version " + std::to_string(Current.value()) +
            " is in force"),
      Expected(Expected), Current(Current) {}

std::vector<std::string>
ConfigStore::splitIntoParts(const std::string &Bytes) const {
  std::vector<std::string> Parts;
  for (std::size_t Offset = 0; Offset < Bytes.size();
       Offset += Config.MaxPartBytes)
    Parts.push_back(Bytes.substr(Offset, Config.MaxPartBytes));
  return Parts;
}

ConfigHead ConfigStore::head() {
  ConfigHead Head;
  const auto Found = Table.read({Partition, HeadSortKey});
  if (Found)
    unpackRow(*Found, Head.Version, Head.Hash, Head.Snapshot,
              Head.SnapshotParts);
  return Head;
}

ConfigDocument ConfigStore::load() {
  const ConfigHead Head = head();
  std::string Bytes;
  for (std::uint32_t Part = 0; Part < Head.SnapshotParts; ++Part) {
    const auto Found =
        Table.read({Partition, partSortKey("snapshot", Head.Snapshot, Part)});
    if (!Found)
      throw PlatformProtocolError("a row of the snapshot is missing");
    Bytes += Found->Value;
  }

  ConfigDocument Document(Head.Snapshot, Bytes.empty() ? ConfigEntries()
                                                       : decodeEntries(Bytes));
  // Other changes may have been accepted since the head was read, so stop at
  // the version of that head.
  while (Document.version() < Head.Version) {
    const auto Changes =
        changesAfter(Document.version(),
                     static_cast<std::size_t>(Head.Version.value() -
                                              Document.version().value()));
    if (Changes.empty())
      throw PlatformProtocolError("a row of the history is missing");
    for (const ConfigChange &Change : Changes)
      Document.apply(Change);
  }
  if (Document.hash() != Head.Hash)
    throw PlatformProtocolError("the history does not lead to the head");
  return Document;
}

std::vector<ConfigChange> ConfigStore::changesAfter(ConfigVersion After,
                                                    std::size_t Limit) {
  std::vector<ConfigChange> Changes;
  std::string From = partSortKey("history", After.next(), 0);
  std::string Bytes;
  while (Changes.size() < Limit) {
    const auto Rows = Table.query(Partition, From, RowsPerQuery);
    for (const Row &Each : Rows) {
      if (!Each.Key.Sort.starts_with("history/") || Changes.size() == Limit)
        return Changes;
      std::uint32_t RemainingParts = 0;
      std::string Part;
      unpackRow(Each, RemainingParts, Part);
      Bytes += Part;
      if (RemainingParts == 0)
        Changes.push_back(decodeChange(std::exchange(Bytes, {})));
    }
    if (Rows.size() < RowsPerQuery)
      break;
    // Continue after the last row that was read.
    From = Rows.back().Key.Sort + '\x01';
  }
  return Changes;
}

std::optional<AcceptedChange>
ConfigStore::findAccepted(const ChangeOrigin &Origin) {
  const auto Found = Table.read({Partition, "change/" + Origin.Id.str()});
  if (!Found)
    return std::nullopt;

  ConfigVersion Version;
  std::uint64_t Digest = 0;
  unpackRow(*Found, Version, Digest);
  if (Digest != Origin.RequestDigest)
    throw ChangeIdReused(
        "change id " + Origin.Id.str() + " was accepted as version " +
        std::to_string(Version.value()) + " for another request");
  return AcceptedChange{Version, true};
}

void ConfigStore::writeSnapshot(const ConfigDocument &Document,
                                ConfigHead &Head) {
  const auto Parts = splitIntoParts(encodeEntries(Document.entries()));
  Transaction Writes;
  const auto Flush = [&](std::size_t Part) {
    Writes.Token = partSortKey("snapshot", Document.version(), Part);
    Table.commit(Writes);
    Writes.Writes.clear();
  };

  // The content of a version never changes, so concurrent writers write the
  // same rows.
  for (std::size_t Part = 0; Part < Parts.size(); ++Part) {
    Writes.Writes.emplace_back(
        PutRow{{Partition, partSortKey("snapshot", Document.version(), Part)},
               Document.version().value(),
               Parts[Part],
               Unconditional{}});
    if (Writes.Writes.size() == SnapshotRowsPerTransaction)
      Flush(Part);
  }
  if (!Writes.Writes.empty())
    Flush(Parts.size());

  Head.Snapshot = Document.version();
  Head.SnapshotParts = static_cast<std::uint32_t>(Parts.size());
}

AcceptedChange ConfigStore::propose(const ConfigDocument &Base,
                                    const ConfigEntries &Next,
                                    const ChangeOrigin &Origin) {
  assert(!Origin.Id.empty());
  if (const auto Earlier = findAccepted(Origin))
    return *Earlier;

  ConfigHead Head = head();
  if (Head.Version != Base.version())
    throw ConfigConflict(Base.version(), Head.Version);
  const ConfigChange Change = Base.changeTo(Next, Origin.Id, Origin.Operator);
  if (Change.Edits.empty())
    return {Base.version(), false};
  if (Base.version().value() - Head.Snapshot.value() >= Config.SnapshotInterval)
    writeSnapshot(Base, Head);

  const std::string Bytes = encodeChange(Change);
  const auto Parts = splitIntoParts(Bytes);
  if (Parts.size() > MaxHistoryParts)
    throw SettingsError(
        "change", 0, "size", std::to_string(Bytes.size()),
        "at most " + std::to_string(MaxHistoryParts * Config.MaxPartBytes) +
            " bytes; split the change");

  Condition HeadCondition = MustNotExist{};
  if (Base.version() != ConfigVersion())
    HeadCondition = MustHaveVersion{Base.version().value()};
  Transaction Writes;
  Writes.Token = std::to_string(
      stableHash(Origin.Id.str() + "/" + std::to_string(Change.Version.value()),
                 Origin.RequestDigest));
  Writes.Writes.emplace_back(PutRow{{Partition, HeadSortKey},
                                    Change.Version.value(),
                                    packRow(Change.Version, Change.HashAfter,
                                            Head.Snapshot, Head.SnapshotParts),
                                    HeadCondition});
  Writes.Writes.emplace_back(
      PutRow{{Partition, "change/" + Origin.Id.str()},
             Change.Version.value(),
             packRow(Change.Version, Origin.RequestDigest),
             MustNotExist{}});
  for (std::size_t Part = 0; Part < Parts.size(); ++Part)
    Writes.Writes.emplace_back(
        PutRow{{Partition, partSortKey("history", Change.Version, Part)},
               Change.Version.value(),
               packRow(static_cast<std::uint32_t>(Parts.size() - 1 - Part),
                       Parts[Part]),
               MustNotExist{}});
  return commit(Writes, Change.Version, Origin);
}

AcceptedChange ConfigStore::commit(const Transaction &Writes,
                                   ConfigVersion Version,
                                   const ChangeOrigin &Origin) {
  for (unsigned Attempt = 1;; ++Attempt) {
    try {
      return tryCommit(Writes, Version, Origin);
    } catch (const PlatformThrottled &Problem) {
      // An earlier attempt may have taken effect, so the effect is unknown.
      if (Attempt > 1)
        throw PlatformUnavailable(Problem.what());
      throw;
    } catch (const PlatformUnavailable &) {
      if (const auto Earlier = findCommitted(Origin))
        return {Earlier->Version, false};
      if (Attempt >= Config.MaxAttempts)
        throw;
    }
  }
}

AcceptedChange ConfigStore::tryCommit(const Transaction &Writes,
                                      ConfigVersion Version,
                                      const ChangeOrigin &Origin) {
  try {
    Table.commit(Writes);
    return {Version, false};
  } catch (const ConditionFailed &) {
    // The head may have been changed by an earlier attempt whose answer was
    // lost.
    if (const auto Earlier = findCommitted(Origin))
      return *Earlier;
    throw ConfigConflict(ConfigVersion(Version.value() - 1), head().Version);
  }
}

std::optional<AcceptedChange>
ConfigStore::findCommitted(const ChangeOrigin &Origin) {
  try {
    return findAccepted(Origin);
  } catch (const PlatformThrottled &Problem) {
    throw PlatformUnavailable(Problem.what());
  }
}

} // namespace daisyspool
