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

/// Records of a configuration in canonical form. The key is the kind and the
/// name, for example "vm/sk-w01". The text has one line "field=value" for each
/// field, sorted by field name.
using ConfigEntries = std::map<std::string, std::string>;

/// Sets the record \c Key to \c Text or, without text, removes it.
struct ConfigEdit {
  std::string Key;
  std::optional<std::string> Text;

  bool operator==(const ConfigEdit &) const = default;
};

/// The edits that lead from version Version - 1 to Version.
struct ConfigChange {
  ConfigVersion Version;
  ChangeId Id;
  OperatorId Operator;
  /// Hash of the whole configuration after the change.
  std::uint64_t HashAfter = 0;
  std::vector<ConfigEdit> Edits;

  bool operator==(const ConfigChange &) const = default;
};

/// Thrown if a change does not apply to a document, because it is for another
/// version or results in another hash.
class ConfigMismatch : public Error {
  using Error::Error;
};

/// One version of the inventory and rules. Version 0 is empty.
///
/// The hash is the sum of the records' hashes, so that the cost of applying a
/// change is proportional to its edits.
///
/// Thread safety: a value type.
class ConfigDocument {
public:
  ConfigDocument() = default;
  ConfigDocument(ConfigVersion Version, ConfigEntries Entries);

  ConfigVersion version() const { return Version; }
  std::uint64_t hash() const { return Hash; }
  const ConfigEntries &entries() const { return Entries; }

  /// Applies \p Change, which leads to the next version. Throws ConfigMismatch,
  /// without any effect, if the change is for another version or results in
  /// another hash.
  void apply(const ConfigChange &Change);

  /// Returns the change that leads from this version to \p Next.
  ConfigChange changeTo(const ConfigEntries &Next, ChangeId Id,
                        OperatorId Operator) const;

private:
  ConfigVersion Version;
  ConfigEntries Entries;
  std::uint64_t Hash = 0;
};

/// Returns the edits that turn \p From into \p To.
std::vector<ConfigEdit> diffEntries(const ConfigEntries &From,
                                    const ConfigEntries &To);

/// Returns the difference in readable form, one line for each record: "+" for a
/// new record, "-" for a removed one, and "~" with the old and new values of
/// changed fields.
std::vector<std::string> describeDifference(const ConfigEntries &From,
                                            const ConfigEntries &To);

/// Encodes a change as MessagePack. decodeChange throws ProtocolError.
std::string encodeChange(const ConfigChange &Change);
ConfigChange decodeChange(std::string_view Bytes);

/// Encodes all entries as MessagePack. decodeEntries throws ProtocolError.
std::string encodeEntries(const ConfigEntries &Entries);
ConfigEntries decodeEntries(std::string_view Bytes);

} // namespace daisyspool

#endif // DAISYSPOOL_CONFIG_CONFIGDOCUMENT_H
