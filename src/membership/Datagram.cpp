#include "daisyspool/membership/Datagram.h"

#include "daisyspool/wire/Adaptors.h"

#include <cstring>

namespace daisyspool {

namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

constexpr std::uint32_t EnvelopeFields = 8;
constexpr std::size_t VersionRefusalType = 8;
constexpr std::size_t RecordSummaryBytes = 8;
// A forged length field must not make the decoder allocate more than a datagram
// can hold.
const msgpack::unpack_limit DecodeLimits(MaxDatagramBytes, 0, MaxDatagramBytes,
                                         MaxDatagramBytes, 0, 8);

void packBytes(Packer &To, const void *Data, std::size_t Size) {
  To.pack_bin(static_cast<std::uint32_t>(Size));
  To.pack_bin_body(static_cast<const char *>(Data),
                   static_cast<std::uint32_t>(Size));
}

void packInfo(Packer &To, const MemberInfo &Info) {
  To.pack_array(8);
  To.pack(static_cast<std::uint8_t>(Info.Role));
  To.pack(Info.Address.Host).pack(Info.Address.Port);
  To.pack(Info.FailureDomain).pack(Info.LinkPort);
  To.pack(Info.Service).pack(Info.Vm).pack(Info.Draining);
}

void packUpdate(Packer &To, const MemberUpdate &Update) {
  To.pack_array(Update.Info ? 5 : 4);
  To.pack(Update.Id).pack(static_cast<std::uint8_t>(Update.State));
  // An incarnation of wall-clock size takes 9 bytes; the difference of two is
  // shorter.
  To.pack(Update.Number);
  To.pack(Update.Number.value() - Update.InfoNumber.value());
  if (Update.Info)
    packInfo(To, *Update.Info);
}

/// Packs the content of each message type as one array.
struct BodyPacker {
  Packer &To;

  void operator()(const Probe &Body) const {
    To.pack_array(1).pack(Body.Sequence);
  }
  void operator()(const ProbeAck &Body) const {
    To.pack_array(1).pack(Body.Sequence);
  }
  void operator()(const ProbeRequest &Body) const {
    To.pack_array(4).pack(Body.Sequence).pack(Body.Target);
    To.pack(Body.Address.Host).pack(Body.Address.Port);
  }
  void operator()(const Notice &) const { To.pack_array(0); }
  void operator()(const SyncDigest &Body) const {
    To.pack_array(1);
    packBytes(To, Body.Hashes.data(), sizeof(Body.Hashes));
  }
  void operator()(const SyncBuckets &Body) const {
    To.pack_array(static_cast<std::uint32_t>(Body.Parts.size()));
    for (const BucketPart &Part : Body.Parts) {
      To.pack_array(4).pack(Part.Bucket).pack(Part.First).pack(Part.Last);
      packBytes(To, Part.Records.data(),
                Part.Records.size() * RecordSummaryBytes);
    }
  }
  void operator()(const SyncRecords &Body) const {
    To.pack_array(1).pack(Body.Wanted);
  }
  void operator()(const Payload &Body) const {
    To.pack_array(1);
    packBytes(To, Body.Bytes.data(), Body.Bytes.size());
  }
  void operator()(const VersionRefusal &) const { To.pack_array(0); }
};

static_assert(sizeof(RecordSummary) == RecordSummaryBytes);

/// Reads one MessagePack array and rejects missing or extra fields, which the
/// library's own conversion accepts.
class FieldReader {
public:
  FieldReader(const msgpack::object &From, std::uint32_t MinFields,
              std::uint32_t MaxFields)
      : From(From) {
    if (From.type != msgpack::type::ARRAY || From.via.array.size < MinFields ||
        From.via.array.size > MaxFields)
      throw MalformedDatagram("not an array, or wrong number of fields");
  }

  std::uint32_t size() const { return From.via.array.size; }
  bool done() const { return Next == size(); }
  const msgpack::object &object() { return From.via.array.ptr[Next++]; }
  template <typename T> T read() { return object().as<T>(); }

  std::string_view bytes() {
    const msgpack::object &Field = object();
    if (Field.type != msgpack::type::BIN)
      throw MalformedDatagram("field is not of binary type");
    return {Field.via.bin.ptr, Field.via.bin.size};
  }

private:
  const msgpack::object &From;
  std::uint32_t Next = 0;
};

MemberInfo readInfo(const msgpack::object &From) {
  FieldReader Fields(From, 8, 8);
  const auto Role = Fields.read<std::uint8_t>();
  if (Role > static_cast<std::uint8_t>(MemberRole::Agent))
    throw MalformedDatagram("unknown role");

  MemberInfo Info;
  Info.Role = static_cast<MemberRole>(Role);
  Info.Address.Host = Fields.read<std::string>();
  Info.Address.Port = Fields.read<std::uint16_t>();
  Info.FailureDomain = Fields.read<FailureDomainId>();
  Info.LinkPort = Fields.read<std::uint16_t>();
  Info.Service = Fields.read<ServiceId>();
  Info.Vm = Fields.read<VmId>();
  Info.Draining = Fields.read<bool>();
  if (Info.Address.Host.empty() || Info.Address.Port == 0)
    throw MalformedDatagram("member info without an address");
  return Info;
}

MemberUpdate readUpdate(const msgpack::object &From) {
  FieldReader Fields(From, 4, 5);
  MemberUpdate Update;
  Update.Id = Fields.read<ProcessId>();
  const auto State = Fields.read<std::uint8_t>();
  if (Update.Id.empty() || State > static_cast<std::uint8_t>(MemberState::Left))
    throw MalformedDatagram(
        "member update without an id or with an unknown state");

  Update.State = static_cast<MemberState>(State);
  Update.Number = Fields.read<Incarnation>();
  const auto InfoAge = Fields.read<std::uint64_t>();
  if (InfoAge > Update.Number.value())
    throw MalformedDatagram("info age exceeds the incarnation");
  Update.InfoNumber = Incarnation(Update.Number.value() - InfoAge);
  if (!Fields.done())
    Update.Info = readInfo(Fields.object());
  return Update;
}

SyncDigest readDigest(const msgpack::object &From) {
  FieldReader Fields(From, 1, 1);
  SyncDigest Body;
  const std::string_view Bytes = Fields.bytes();
  if (Bytes.size() != sizeof(Body.Hashes))
    throw MalformedDatagram("digest of the wrong length");
  std::memcpy(Body.Hashes.data(), Bytes.data(), Bytes.size());
  return Body;
}

BucketPart readPart(const msgpack::object &From) {
  FieldReader Fields(From, 4, 4);
  BucketPart Part;
  Part.Bucket = Fields.read<std::uint8_t>();
  Part.First = Fields.read<std::uint32_t>();
  Part.Last = Fields.read<std::uint32_t>();
  const std::string_view Bytes = Fields.bytes();
  if (Part.Bucket >= MembershipTable::BucketCount ||
      Bytes.size() % RecordSummaryBytes != 0)
    throw MalformedDatagram(
        "bucket number out of range or partial record summary");
  Part.Records.resize(Bytes.size() / RecordSummaryBytes);
  if (!Bytes.empty())
    std::memcpy(Part.Records.data(), Bytes.data(), Bytes.size());
  return Part;
}

DatagramBody readBody(std::size_t Type, const msgpack::object &From) {
  FieldReader Fields(From, 0, MaxDatagramBytes);
  switch (Type) {
  case 0:
    return Probe{FieldReader(From, 1, 1).read<std::uint64_t>()};
  case 1:
    return ProbeAck{FieldReader(From, 1, 1).read<std::uint64_t>()};
  case 2: {
    FieldReader Request(From, 4, 4);
    ProbeRequest Body;
    Body.Sequence = Request.read<std::uint64_t>();
    Body.Target = Request.read<ProcessId>();
    Body.Address.Host = Request.read<std::string>();
    Body.Address.Port = Request.read<std::uint16_t>();
    return Body;
  }
  case 3:
    return Notice{};
  case 4:
    return readDigest(From);
  case 5: {
    SyncBuckets Body;
    while (!Fields.done())
      Body.Parts.push_back(readPart(Fields.object()));
    return Body;
  }
  case 6:
    return SyncRecords{
        FieldReader(From, 1, 1).read<std::vector<std::uint32_t>>()};
  case 7:
    return Payload{std::string(FieldReader(From, 1, 1).bytes())};
  case VersionRefusalType:
    return VersionRefusal{};
  default:
    throw MalformedDatagram("unknown message type");
  }
}

Datagram readDatagram(const msgpack::object &From) {
  // Every version of the protocol starts with the version and the type.
  FieldReader Header(From, 2, MaxDatagramBytes);
  const auto Version = Header.read<std::uint64_t>();
  const auto Type = Header.read<std::uint64_t>();
  if (Version != GossipVersion)
    throw UnsupportedVersion(Version, Type == VersionRefusalType);

  FieldReader Fields(From, EnvelopeFields, EnvelopeFields);
  Fields.object();
  Fields.object();
  Datagram Message;
  Message.Sender = Fields.read<ProcessId>();
  Message.Number = Fields.read<Incarnation>();
  Message.Config.Version = Fields.read<ConfigVersion>();
  const msgpack::object &Age = Fields.object();
  if (Age.type != msgpack::type::NIL)
    Message.Config.Age = Millis(Age.as<std::uint32_t>());
  if (Message.Sender.empty())
    throw MalformedDatagram("no sender");

  Message.Body = readBody(Type, Fields.object());
  FieldReader Updates(Fields.object(), 0, MaxDatagramBytes);
  while (!Updates.done())
    Message.Updates.push_back(readUpdate(Updates.object()));
  return Message;
}

} // namespace

UnsupportedVersion::UnsupportedVersion(std::uint64_t Version, bool IsRefusal)
    : ProtocolError("gossip protocol version " + std::to_string(Version) +
                    ", supported: " + std::to_string(GossipVersion)),
      Version(Version), IsRefusal(IsRefusal) {}

std::string encode(const Datagram &Message) {
  msgpack::sbuffer Buffer(MaxDatagramBytes);
  Packer To(Buffer);
  To.pack_array(EnvelopeFields);
  To.pack(GossipVersion).pack(Message.Body.index());
  To.pack(Message.Sender).pack(Message.Number).pack(Message.Config.Version);
  if (Message.Config.Age)
    To.pack(static_cast<std::uint32_t>(Message.Config.Age->count()));
  else
    To.pack_nil();
  std::visit(BodyPacker{To}, Message.Body);

  To.pack_array(static_cast<std::uint32_t>(Message.Updates.size()));
  for (const MemberUpdate &Update : Message.Updates)
    packUpdate(To, Update);
  return {Buffer.data(), Buffer.size()};
}

std::size_t encodedSize(const MemberUpdate &Update) {
  msgpack::sbuffer Buffer(256);
  Packer To(Buffer);
  packUpdate(To, Update);
  return Buffer.size();
}

Datagram decode(std::string_view Bytes) {
  try {
    std::size_t Used = 0;
    const msgpack::object_handle Handle = msgpack::unpack(
        Bytes.data(), Bytes.size(), Used, nullptr, nullptr, DecodeLimits);
    if (Used != Bytes.size())
      throw MalformedDatagram("trailing bytes after the datagram");
    return readDatagram(Handle.get());
  } catch (const msgpack::type_error &) {
    throw MalformedDatagram("field of the wrong type");
  } catch (const msgpack::unpack_error &Problem) {
    throw MalformedDatagram(Problem.what());
  }
}

} // namespace daisyspool
