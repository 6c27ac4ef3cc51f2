#include "daisyspool/config/ConfigDocument.h"

#include "daisyspool/core/Hash.h"
#include "daisyspool/wire/Adaptors.h"

#include <set>
#include <sstream>
#include <utility>

namespace daisyspool {

namespace {

/// Limits on untrusted input: number of records, and bytes of one record.
constexpr std::size_t MaxRecords = 1000000;
constexpr std::size_t MaxRecordBytes = 1 << 20;
const msgpack::unpack_limit UnpackLimits(MaxRecords, 0, MaxRecordBytes, 0, 0,
                                         8);

std::uint64_t hashEntry(const std::string &Key, const std::string &Text) {
  return stableHash(Text, stableHash(Key));
}

std::uint64_t hashEntries(const ConfigEntries &Entries) {
  std::uint64_t Hash = 0;
  for (const auto &[Key, Text] : Entries)
    Hash += hashEntry(Key, Text);
  return Hash;
}

std::uint64_t hashAfter(std::uint64_t Hash, const ConfigEntries &Entries,
                        const std::vector<ConfigEdit> &Edits) {
  for (const ConfigEdit &Edit : Edits) {
    const auto Old = Entries.find(Edit.Key);
    if (Old != Entries.end())
      Hash -= hashEntry(Old->first, Old->second);
    if (Edit.Text)
      Hash += hashEntry(Edit.Key, *Edit.Text);
  }
  return Hash;
}

std::map<std::string, std::string> parseFields(const std::string &Text) {
  std::map<std::string, std::string> Fields;
  std::istringstream Lines(Text);
  std::string Line;
  while (std::getline(Lines, Line)) {
    const auto Equals = Line.find('=');
    Fields[Line.substr(0, Equals)] =
        Equals == std::string::npos ? "" : Line.substr(Equals + 1);
  }
  return Fields;
}

std::string displayName(const std::string &Key) {
  std::string Name = Key;
  const auto Slash = Name.find('/');
  if (Slash != std::string::npos)
    Name[Slash] = ' ';
  return Name;
}

std::string joinFields(const std::string &Text) {
  std::string Line;
  for (const auto &[Field, Value] : parseFields(Text))
    Line.append(" ").append(Field).append("=").append(Value);
  return Line;
}

std::string describeChangedFields(const std::string &Old,
                                  const std::string &New) {
  const auto Before = parseFields(Old);
  const auto After = parseFields(New);
  std::set<std::string> Names;
  for (const auto &[Field, Value] : Before)
    Names.insert(Field);
  for (const auto &[Field, Value] : After)
    Names.insert(Field);

  std::string Line;
  const auto ValueOf = [](const auto &Fields, const std::string &Name) {
    const auto Found = Fields.find(Name);
    return Found == Fields.end() ? std::string("(none)") : Found->second;
  };
  for (const std::string &Name : Names) {
    const std::string From = ValueOf(Before, Name);
    const std::string To = ValueOf(After, Name);
    if (From != To)
      Line.append(Line.empty() ? " " : ", ")
          .append(Name)
          .append(" ")
          .append(From)
          .append(" -> ")
          .append(To);
  }
  return Line;
}

template <typename Reader>
auto decodeWith(std::string_view Bytes, Reader Read) {
  try {
    const msgpack::object_handle Handle = msgpack::unpack(
        Bytes.data(), Bytes.size(), nullptr, nullptr, UnpackLimits);
    return Read(Handle.get());
  } catch (const msgpack::type_error &) {
    throw ProtocolError("configuration: field of another type");
  } catch (const msgpack::unpack_error &Problem) {
    throw ProtocolError(std::string("configuration: ") + Problem.what());
  }
}

const msgpack::object_array &arrayWithSize(const msgpack::object &From,
                                           std::uint32_t Size) {
  if (From.type != msgpack::type::ARRAY || From.via.array.size != Size)
    throw ProtocolError("configuration: array of another length");
  return From.via.array;
}

} // namespace

ConfigDocument::ConfigDocument(ConfigVersion Version, ConfigEntries NewEntries)
    : Version(Version), Entries(std::move(NewEntries)),
      Hash(hashEntries(Entries)) {}

void ConfigDocument::apply(const ConfigChange &Change) {
  if (Change.Version != Version.next())
    throw ConfigMismatch(
        "change to version " + std::to_string(Change.Version.value()) +
        " does not follow version " + std::to_string(Version.value()));
  const std::uint64_t After = hashAfter(Hash, Entries, Change.Edits);
  if (After != Change.HashAfter)
    throw ConfigMismatch("change to version " +
                         std::to_string(Change.Version.value()) +
                         " gives another hash");

  for (const ConfigEdit &Edit : Change.Edits) {
    if (Edit.Text)
      Entries[Edit.Key] = *Edit.Text;
    else
      Entries.erase(Edit.Key);
  }
  Hash = After;
  Version = Change.Version;
}

ConfigChange ConfigDocument::changeTo(const ConfigEntries &Next, ChangeId Id,
                                      OperatorId Operator) const {
  ConfigChange Change{Version.next(), std::move(Id), std::move(Operator), 0,
                      diffEntries(Entries, Next)};
  Change.HashAfter = hashAfter(Hash, Entries, Change.Edits);
  return Change;
}

std::vector<ConfigEdit> diffEntries(const ConfigEntries &From,
                                    const ConfigEntries &To) {
  std::vector<ConfigEdit> Edits;
  for (const auto &[Key, Text] : From)
    if (!To.count(Key))
      Edits.push_back({Key, std::nullopt});
  for (const auto &[Key, Text] : To) {
    const auto Old = From.find(Key);
    if (Old == From.end() || Old->second != Text)
      Edits.push_back({Key, Text});
  }
  return Edits;
}

std::vector<std::string> describeDifference(const ConfigEntries &From,
                                            const ConfigEntries &To) {
  std::vector<std::string> Lines;
  for (const ConfigEdit &Edit : diffEntries(From, To)) {
    const auto Old = From.find(Edit.Key);
    const std::string Name = displayName(Edit.Key);
    if (!Edit.Text)
      Lines.push_back("- " + Name);
    else if (Old == From.end())
      Lines.push_back("+ " + Name + ":" + joinFields(*Edit.Text));
    else
      Lines.push_back("~ " + Name + ":" +
                      describeChangedFields(Old->second, *Edit.Text));
  }
  return Lines;
}

std::string encodeChange(const ConfigChange &Change) {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> To(Buffer);
  To.pack_array(5);
  To.pack(Change.Version).pack(Change.Id).pack(Change.Operator);
  To.pack(Change.HashAfter);
  To.pack_array(static_cast<std::uint32_t>(Change.Edits.size()));
  for (const ConfigEdit &Edit : Change.Edits) {
    To.pack_array(2).pack(Edit.Key);
    if (Edit.Text)
      To.pack(*Edit.Text);
    else
      To.pack_nil();
  }
  return {Buffer.data(), Buffer.size()};
}

ConfigChange decodeChange(std::string_view Bytes) {
  return decodeWith(Bytes, [](const msgpack::object &From) {
    const auto &Fields = arrayWithSize(From, 5);
    ConfigChange Change;
    Change.Version = Fields.ptr[0].as<ConfigVersion>();
    Change.Id = Fields.ptr[1].as<ChangeId>();
    Change.Operator = Fields.ptr[2].as<OperatorId>();
    Change.HashAfter = Fields.ptr[3].as<std::uint64_t>();
    for (const auto &Item : Fields.ptr[4].as<std::vector<msgpack::object>>()) {
      const auto &Edit = arrayWithSize(Item, 2);
      Change.Edits.push_back({Edit.ptr[0].as<std::string>(), std::nullopt});
      if (Edit.ptr[1].type != msgpack::type::NIL)
        Change.Edits.back().Text = Edit.ptr[1].as<std::string>();
    }
    return Change;
  });
}

std::string encodeEntries(const ConfigEntries &Entries) {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> To(Buffer);
  To.pack_array(static_cast<std::uint32_t>(Entries.size()));
  for (const auto &[Key, Text] : Entries)
    To.pack_array(2).pack(Key).pack(Text);
  return {Buffer.data(), Buffer.size()};
}

ConfigEntries decodeEntries(std::string_view Bytes) {
  return decodeWith(Bytes, [](const msgpack::object &From) {
    ConfigEntries Entries;
    for (const auto &Item : From.as<std::vector<msgpack::object>>()) {
      const auto &Fields = arrayWithSize(Item, 2);
      Entries[Fields.ptr[0].as<std::string>()] =
          Fields.ptr[1].as<std::string>();
    }
    return Entries;
  });
}

} // namespace daisyspool
