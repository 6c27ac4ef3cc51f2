#include "daisyspool/config/ConfigSpread.h"

#include "daisyspool/wire/Adaptors.h"

#include <algorithm>
#include <utility>

namespace daisyspool {

namespace {

/// Bounds on what a peer can make this process hold.
constexpr std::size_t MaxWaiting = 64;
constexpr std::uint32_t MaxFragments = 4096;
const msgpack::unpack_limit Limits(16, 0, 0, 4096, 0, 4);

enum class MessageType : std::uint8_t { Push, Fetch, TooFarBehind };

} // namespace

/// One fragment of an encoded change. Fresh: spread by rumour, so whoever
/// adopts it pushes it on; an answer to a fetch is not pushed on.
struct ConfigSpread::Push {
  ConfigVersion Version;
  bool Fresh = false;
  std::uint32_t Part = 0;
  std::uint32_t Parts = 0;
  std::string_view Bytes;
};

ConfigSpread::ConfigSpread(Options Config, PeerSource Peers)
    : Config(Config), Peers(std::move(Peers)) {}

bool ConfigSpread::adopt(ConfigDocument NewDocument, TimePoint Now) {
  if (NewDocument.version() <= Document.version())
    return false;

  Document = std::move(NewDocument);
  // Peers cannot be served across the gap.
  History.clear();
  Waiting.clear();
  Partials.clear();
  NeedsDocument = false;
  Confirmed.reset();
  Adopted = Now;
  ++Counts.Adopted;
  return true;
}

bool ConfigSpread::adoptChange(const ConfigChange &Change, TimePoint Now) {
  if (Change.Version <= Document.version()) {
    ++Counts.Stale;
    return false;
  }
  if (Change.Version != Document.version().next()) {
    if (Waiting.size() < MaxWaiting)
      Waiting.emplace(Change.Version, Change);
    return false;
  }

  try {
    Document.apply(Change);
  } catch (const ConfigMismatch &) {
    // Two histories cannot exist, since the store accepts one change for each
    // version; a whole document repairs a damaged copy.
    ++Counts.Mismatched;
    NeedsDocument = true;
    return false;
  }
  ++Counts.Adopted;
  Confirmed.reset();
  Adopted = Now;
  History.push_back(Change);
  if (History.size() > Config.History)
    History.pop_front();
  return true;
}

void ConfigSpread::fragment(std::vector<ConfigOutgoing> &Out,
                            const ProcessId &To, const ConfigChange &Change,
                            bool Fresh) const {
  const std::string Bytes = encodeChange(Change);
  const auto Parts = static_cast<std::uint32_t>(
      (Bytes.size() + Config.FragmentBytes - 1) / Config.FragmentBytes);
  for (std::uint32_t Part = 0; Part < Parts; ++Part) {
    msgpack::sbuffer Buffer;
    msgpack::packer<msgpack::sbuffer> Pack(Buffer);
    const std::size_t At = Part * Config.FragmentBytes;
    const auto Size = static_cast<std::uint32_t>(
        std::min(Config.FragmentBytes, Bytes.size() - At));
    Pack.pack_array(6).pack(static_cast<std::uint8_t>(MessageType::Push));
    Pack.pack(Change.Version).pack(Fresh).pack(Part).pack(Parts);
    Pack.pack_bin(Size);
    Pack.pack_bin_body(Bytes.data() + At, Size);
    Out.push_back({To, {Buffer.data(), Buffer.size()}});
  }
}

std::vector<ConfigOutgoing> ConfigSpread::push(const ConfigChange &Change) {
  std::vector<ConfigOutgoing> Out;
  for (const ProcessId &Peer : Peers(Config.PushTo))
    fragment(Out, Peer, Change, true);
  return Out;
}

std::vector<ConfigOutgoing>
ConfigSpread::adoptAndPush(const ConfigChange &Change, TimePoint Now) {
  if (!adoptChange(Change, Now))
    return {};
  return push(Change);
}

bool ConfigSpread::onStoreHead(ConfigVersion Version, TimePoint Now) {
  if (Version == Document.version())
    Confirmed = std::max(Confirmed.value_or(Now), Now);
  return Version > Document.version();
}

bool ConfigSpread::confirmed(TimePoint Now) const {
  const auto Recent = [&](const std::optional<TimePoint> &When) {
    return When && Now - *When <= Config.ConfirmWithin;
  };
  return Recent(Confirmed) || Recent(Adopted);
}

std::vector<ConfigOutgoing> ConfigSpread::fetch(const ProcessId &Peer,
                                                TimePoint Now) {
  if (FetchUntil && Now < *FetchUntil)
    return {};

  FetchUntil = Now + Config.FetchTimeout;
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
    return fetch(Peer, Now);
  if (Version == Document.version() && Age && Age->count() >= 0) {
    const TimePoint When = Now - *Age;
    if (!Confirmed || *Confirmed < When)
      Confirmed = When;
  }
  return {};
}

std::vector<ConfigOutgoing> ConfigSpread::onFetch(const ProcessId &From,
                                                  ConfigVersion Have) const {
  std::vector<ConfigOutgoing> Out;
  if (Have >= Document.version())
    return Out;
  if (History.empty() || History.front().Version > Have.next()) {
    msgpack::sbuffer Buffer;
    msgpack::packer<msgpack::sbuffer> Pack(Buffer);
    Pack.pack_array(2).pack(
        static_cast<std::uint8_t>(MessageType::TooFarBehind));
    Pack.pack(Document.version());
    return {{From, {Buffer.data(), Buffer.size()}}};
  }

  std::size_t Left = Config.ChangesInAnswer;
  for (const ConfigChange &Change : History)
    if (Change.Version > Have && Left != 0) {
      fragment(Out, From, Change, false);
      --Left;
    }
  return Out;
}

std::vector<ConfigOutgoing> ConfigSpread::onPush(const ProcessId &From,
                                                 Push Part, TimePoint Now) {
  if (Part.Parts == 0 || Part.Parts > MaxFragments || Part.Part >= Part.Parts)
    throw ProtocolError("configuration fragment out of range");
  if (Part.Version <= Document.version()) {
    ++Counts.Stale;
    return {};
  }
  if (Part.Version != Document.version().next() &&
      Partials.size() >= MaxWaiting)
    return fetch(From, Now);

  Partial &Held = Partials[Part.Version];
  if (Held.Parts.size() != Part.Parts) {
    Held.Parts.assign(Part.Parts, {});
    Held.Missing = Part.Parts;
  }
  if (Held.Parts[Part.Part].empty()) {
    Held.Parts[Part.Part] = Part.Bytes;
    --Held.Missing;
  }
  if (Held.Missing != 0)
    return {};

  std::string Bytes;
  for (const std::string &Piece : Held.Parts)
    Bytes += Piece;
  Partials.erase(Part.Version);
  const ConfigChange Change = decodeChange(Bytes);
  if (Change.Version != Part.Version)
    throw ProtocolError("configuration change of another version");

  std::vector<ConfigOutgoing> Out;
  if (!adoptChange(Change, Now)) {
    if (Change.Version > Document.version())
      Out = fetch(From, Now);
    return Out;
  }

  if (Part.Fresh)
    Out = push(Change);
  // Changes that arrived before the ones that they follow.
  for (auto Next = Waiting.begin();
       Next != Waiting.end() && Next->first <= Document.version().next();
       Next = Waiting.erase(Next))
    adoptChange(Next->second, Now);
  Partials.erase(Partials.begin(), Partials.upper_bound(Document.version()));
  FetchUntil.reset();
  return Out;
}

std::vector<ConfigOutgoing> ConfigSpread::receive(const ProcessId &From,
                                                  std::string_view Bytes,
                                                  TimePoint Now) {
  try {
    const msgpack::object_handle Handle =
        msgpack::unpack(Bytes.data(), Bytes.size(), nullptr, nullptr, Limits);
    const msgpack::object &Message = Handle.get();
    if (Message.type != msgpack::type::ARRAY || Message.via.array.size < 2)
      throw ProtocolError("configuration message of another length");

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
    throw ProtocolError("configuration message: field of another type");
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
