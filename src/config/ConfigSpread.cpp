#include "daisyspool/config/ConfigSpread.h"

#include "daisyspool/wire/Adaptors.h"

#include <algorithm>
#include <utility>

namespace daisyspool {

namespace {

/// Limits on the memory that messages of a peer can occupy.
constexpr std::size_t MaxBufferedChanges = 64;
constexpr std::uint32_t MaxFragments = 4096;
const msgpack::unpack_limit UnpackLimits(16, 0, 0, 4096, 0, 4);

enum class MessageType : std::uint8_t { Push, Fetch, TooFarBehind };

} // namespace

/// One fragment of an encoded change.
struct ConfigSpread::Push {
  ConfigVersion Version;
  /// Whether a process that adopts the change pushes it to other members; false
  /// in the answer to a fetch.
  bool Relay = false;
  std::uint32_t Index = 0;
  std::uint32_t Count = 0;
  std::string_view Bytes;
};

ConfigSpread::ConfigSpread(Options Config, PeerSource Peers)
    : Config(Config), Peers(std::move(Peers)) {}

bool ConfigSpread::adopt(ConfigDocument NewDocument, TimePoint Now) {
  if (NewDocument.version() <= Document.version())
    return false;

  Document = std::move(NewDocument);
  // Changes between the old and the new version are missing, so the kept
  // history cannot bring a peer up to date.
  History.clear();
  EarlyChanges.clear();
  PartialChanges.clear();
  NeedsDocument = false;
  ConfirmedTime.reset();
  AdoptedTime = Now;
  ++Counts.Adopted;
  return true;
}

bool ConfigSpread::adoptChange(const ConfigChange &Change, TimePoint Now) {
  if (Change.Version <= Document.version()) {
    ++Counts.Stale;
    return false;
  }
  if (Change.Version != Document.version().next()) {
    if (EarlyChanges.size() < MaxBufferedChanges)
      EarlyChanges.emplace(Change.Version, Change);
    return false;
  }

  try {
    Document.apply(Change);
  } catch (const ConfigMismatch &) {
    // The store accepts exactly one change for each version, so the local copy
    // is damaged. Reading the whole document repairs it.
    ++Counts.Mismatched;
    NeedsDocument = true;
    return false;
  }
  ++Counts.Adopted;
  ConfirmedTime.reset();
  AdoptedTime = Now;
  History.push_back(Change);
  if (History.size() > Config.HistoryLimit)
    History.pop_front();
  return true;
}

void ConfigSpread::appendFragments(std::vector<ConfigOutgoing> &Out,
                                   const ProcessId &To,
                                   const ConfigChange &Change,
                                   bool Relay) const {
  const std::string Bytes = encodeChange(Change);
  const auto Count = static_cast<std::uint32_t>(
      (Bytes.size() + Config.MaxFragmentBytes - 1) / Config.MaxFragmentBytes);
  for (std::uint32_t Index = 0; Index < Count; ++Index) {
    msgpack::sbuffer Buffer;
    msgpack::packer<msgpack::sbuffer> Pack(Buffer);
    const std::size_t Offset = Index * Config.MaxFragmentBytes;
    const auto Size = static_cast<std::uint32_t>(
        std::min(Config.MaxFragmentBytes, Bytes.size() - Offset));
    Pack.pack_array(6).pack(static_cast<std::uint8_t>(MessageType::Push));
    Pack.pack(Change.Version).pack(Relay).pack(Index).pack(Count);
    Pack.pack_bin(Size);
    Pack.pack_bin_body(Bytes.data() + Offset, Size);
    Out.push_back({To, {Buffer.data(), Buffer.size()}});
  }
}

std::vector<ConfigOutgoing>
ConfigSpread::pushToPeers(const ConfigChange &Change) {
  std::vector<ConfigOutgoing> Out;
  for (const ProcessId &Peer : Peers(Config.PushFanout))
    appendFragments(Out, Peer, Change, true);
  return Out;
}

std::vector<ConfigOutgoing>
ConfigSpread::adoptAndPush(const ConfigChange &Change, TimePoint Now) {
  if (!adoptChange(Change, Now))
    return {};
  return pushToPeers(Change);
}

bool ConfigSpread::onStoreHead(ConfigVersion Version, TimePoint Now) {
  if (Version == Document.version())
    ConfirmedTime = std::max(ConfirmedTime.value_or(Now), Now);
  return Version > Document.version();
}

bool ConfigSpread::confirmed(TimePoint Now) const {
  const auto IsRecent = [&](const std::optional<TimePoint> &Time) {
    return Time && Now - *Time <= Config.MaxConfirmationAge;
  };
  return IsRecent(ConfirmedTime) || IsRecent(AdoptedTime);
}

std::vector<ConfigOutgoing> ConfigSpread::fetchFrom(const ProcessId &Peer,
                                                    TimePoint Now) {
  if (FetchDeadline && Now < *FetchDeadline)
    return {};

  FetchDeadline = Now + Config.FetchTimeout;
  ++Counts.Fetches;
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Pack(Buffer);
  Pack.pack_array(2).pack(static_cast<std::uint8_t>(MessageType::Fetch));
  Pack.pack(Document.version());
  return {{Peer, {Buffer.data(), Buffer.size()}}};
}

std::vector<ConfigOutgoing> ConfigSpread::onStamp(const ProcessId &Peer,
                                                  ConfigVersion Version,
                                                  std::optional<Millis> Age,
                                                  TimePoint Now) {
  if (Version > Document.version())
    return fetchFrom(Peer, Now);
  if (Version == Document.version() && Age && Age->count() >= 0) {
    const TimePoint PeerConfirmedTime = Now - *Age;
    if (!ConfirmedTime || *ConfirmedTime < PeerConfirmedTime)
      ConfirmedTime = PeerConfirmedTime;
  }
  return {};
}

std::vector<ConfigOutgoing>
ConfigSpread::onFetch(const ProcessId &From, ConfigVersion PeerVersion) const {
  std::vector<ConfigOutgoing> Out;
  if (PeerVersion >= Document.version())
    return Out;
  if (History.empty() || History.front().Version > PeerVersion.next()) {
    msgpack::sbuffer Buffer;
    msgpack::packer<msgpack::sbuffer> Pack(Buffer);
    Pack.pack_array(2).pack(
        static_cast<std::uint8_t>(MessageType::TooFarBehind));
    Pack.pack(Document.version());
    return {{From, {Buffer.data(), Buffer.size()}}};
  }

  std::size_t Remaining = Config.MaxFetchedChanges;
  for (const ConfigChange &Change : History)
    if (Change.Version > PeerVersion && Remaining != 0) {
      appendFragments(Out, From, Change, false);
      --Remaining;
    }
  return Out;
}

std::vector<ConfigOutgoing> ConfigSpread::onPush(const ProcessId &From,
                                                 Push Fragment, TimePoint Now) {
  if (Fragment.Count == 0 || Fragment.Count > MaxFragments ||
      Fragment.Index >= Fragment.Count)
    throw ProtocolError("configuration fragment out of range");
  if (Fragment.Version <= Document.version()) {
    ++Counts.Stale;
    return {};
  }
  if (Fragment.Version != Document.version().next() &&
      PartialChanges.size() >= MaxBufferedChanges)
    return fetchFrom(From, Now);

  PartialChange &Partial = PartialChanges[Fragment.Version];
  if (Partial.Parts.size() != Fragment.Count) {
    Partial.Parts.assign(Fragment.Count, {});
    Partial.MissingCount = Fragment.Count;
  }
  if (Partial.Parts[Fragment.Index].empty()) {
    Partial.Parts[Fragment.Index] = Fragment.Bytes;
    --Partial.MissingCount;
  }
  if (Partial.MissingCount != 0)
    return {};

  std::string Bytes;
  for (const std::string &Part : Partial.Parts)
    Bytes += Part;
  PartialChanges.erase(Fragment.Version);
  const ConfigChange Change = decodeChange(Bytes);
  if (Change.Version != Fragment.Version)
    throw ProtocolError(
        "configuration change is for another version than its fragments");

  std::vector<ConfigOutgoing> Out;
  if (!adoptChange(Change, Now)) {
    if (Change.Version > Document.version())
      Out = fetchFrom(From, Now);
    return Out;
  }

  if (Fragment.Relay)
    Out = pushToPeers(Change);
  // Adopt the changes that were received before this one.
  for (auto Next = EarlyChanges.begin();
       Next != EarlyChanges.end() && Next->first <= Document.version().next();
       Next = EarlyChanges.erase(Next))
    adoptChange(Next->second, Now);
  PartialChanges.erase(PartialChanges.begin(),
                       PartialChanges.upper_bound(Document.version()));
  FetchDeadline.reset();
  return Out;
}

std::vector<ConfigOutgoing> ConfigSpread::receive(const ProcessId &From,
                                                  std::string_view Bytes,
                                                  TimePoint Now) {
  try {
    const msgpack::object_handle Handle = msgpack::unpack(
        Bytes.data(), Bytes.size(), nullptr, nullptr, UnpackLimits);
    const msgpack::object &Message = Handle.get();
    if (Message.type != msgpack::type::ARRAY || Message.via.array.size < 2)
      throw ProtocolError("configuration message of the wrong length");

    const msgpack::object_array &Fields = Message.via.array;
    const auto Type = Fields.ptr[0].as<std::uint8_t>();
    const auto Version = Fields.ptr[1].as<ConfigVersion>();
    if (Type == static_cast<std::uint8_t>(MessageType::Fetch) &&
        Fields.size == 2)
      return onFetch(From, Version);
    if (Type == static_cast<std::uint8_t>(MessageType::TooFarBehind) &&
        Fields.size == 2) {
      NeedsDocument = NeedsDocument || Version > Document.version();
      return {};
    }
    if (Type != static_cast<std::uint8_t>(MessageType::Push) ||
        Fields.size != 6 || Fields.ptr[5].type != msgpack::type::BIN)
      throw ProtocolError("unknown configuration message");
    return onPush(From,
                  {Version,
                   Fields.ptr[2].as<bool>(),
                   Fields.ptr[3].as<std::uint32_t>(),
                   Fields.ptr[4].as<std::uint32_t>(),
                   {Fields.ptr[5].via.bin.ptr, Fields.ptr[5].via.bin.size}},
                  Now);
  } catch (const msgpack::type_error &) {
    ++Counts.Malformed;
    throw ProtocolError("configuration message: field of the wrong type");
  } catch (const msgpack::unpack_error &Problem) {
    ++Counts.Malformed;
    throw ProtocolError(std::string("configuration message: ") +
                        Problem.what());
  } catch (const ProtocolError &) {
    ++Counts.Malformed;
    throw;
  }
}

} // namespace daisyspool
