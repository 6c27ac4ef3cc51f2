#ifndef DAISYSPOOL_CONFIG_CONFIGDOCUMENT_H
#define DAISYSPOOL_CONFIG_CONFIGDOCUMENT_H

#include "daisyspool/config/Inventory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisyspool {

/// Records of a configuration in canonical form: the key is the kind and the
/// name, for example "vm/sk-w01"; the text holds one "field=value" a line, in
/// order of the fields.
using ConfigEntries = std::map<std::string, std::string>;

/// One record that a change sets or, without text, removes.
struct ConfigEdit {
  std::string Key;
  std::optional<std::string> Text;

  bool operator==(const ConfigEdit &) const = default;
};

/// The step from version Version - 1 to Version.
struct ConfigChange {
  ConfigVersion Version;
  ChangeId Id;
  OperatorId Operator;
  /// Hash of the whole configuration after the change.
  std::uint64_t HashAfter = 0;
  std::vector<ConfigEdit> Edits;

  bool operator==(const ConfigChange &) const = default;
};

/// A change that does not follow the document it was applied to.
class ConfigMismatch : public Error {
  using Error::Error;
};

/// One version of inventory and rules.
///
/// The hash is a sum over records, so that a change costs work in proportion to
/// its edits. Version 0 is empty.
///
/// Thread safety: a value type.
class ConfigDocument {
public:
  ConfigDocument() = default;
  ConfigDocument(ConfigVersion Version, ConfigEntries Entries);

  ConfigVersion version() const { return Version; }
  std::uint64_t hash() const { return Hash; }
  const ConfigEntries &entries() const { return Entries; }

  /// Moves to the next version. Throws ConfigMismatch, with no effect, if the
  /// change is for another version or gives another hash.
  void apply(const ConfigChange &Change);

  /// The change that leads from this version to \p Next.
  ConfigChange changeTo(const ConfigEntries &Next, ChangeId Id,
                        OperatorId Operator) const;

private:
  ConfigVersion Version;
  ConfigEntries Entries;
  std::uint64_t Hash = 0;
};

/// Edits that turn \p From into \p To.
std::vector<ConfigEdit> difference(const ConfigEntries &From,
                                   const ConfigEntries &To);

/// The difference for people: "+" for new records, "-" for removed ones and
/// "~" with old and new values for changed fields, one line each.
std::vector<std::string> describeDifference(const ConfigEntries &From,
                                            const ConfigEntries &To);

/// Canonical bytes of a change. decodeChange throws ProtocolError.
std::string encodeChange(const ConfigChange &Change);
ConfigChange decodeChange(std::string_view Bytes);

/// Canonical bytes of all entries. decodeEntries throws ProtocolError.
std::string encodeEntries(const ConfigEntries &Entries);
ConfigEntries decodeEntries(std::string_view Bytes);

} // namespace daisyspool

#endif // DAISYSPOOL_CONFIG_CONFIGDOCUMENT_H
