#ifndef DAISYSPOOL_ADMIN_OPERATORKEYS_H
#define DAISYSPOOL_ADMIN_OPERATORKEYS_H

#include "daisyspool/core/Errors.h"
#include "daisyspool/core/Ids.h"
#include "daisyspool/http/Types.h"

#include <optional>
#include <string>

namespace daisyspool {

enum class OperatorRole { Viewer, Admin };

/// The authenticated operator who calls the administration API.
struct OperatorIdentity {
  OperatorId Id;
  OperatorRole Role = OperatorRole::Viewer;
};

/// Authenticates operators by the keys in a file. Each line of the file has the
/// form "OPERATOR ROLE KEY", where ROLE is viewer or admin.
///
/// The file is read again for every call, so that keys can be rotated without a
/// restart. Keys are compared in constant time.
///
/// Thread safety: safe from any thread.
class OperatorKeys {
public:
  /// If \p Path is empty, no key is needed: every caller has the role admin and
  /// the name in the Daisyspool-Operator header.
  explicit OperatorKeys(std::string Path) : Path(std::move(Path)) {}

  /// Returns the operator whose key is in the header `Authorization: Bearer
  /// KEY`, or nothing if the key is missing or unknown.
  std::optional<OperatorIdentity> identify(const http::Request &Call) const;

private:
  std::string Path;
};

} // namespace daisyspool

#endif // DAISYSPOOL_ADMIN_OPERATORKEYS_H
