#ifndef DAISYSPOOL_ADMIN_OPERATORKEYS_H
#define DAISYSPOOL_ADMIN_OPERATORKEYS_H

#include "daisyspool/core/Errors.h"
#include "daisyspool/core/Ids.h"
#include "daisyspool/http/Types.h"

#include <optional>
#include <string>

namespace daisyspool {

enum class OperatorRole { Viewer, Admin };

/// Who makes a call of the administration API.
struct OperatorIdentity {
  OperatorId Id;
  OperatorRole Role = OperatorRole::Viewer;
};

/// The operators' keys, read from a file with a line "OPERATOR ROLE KEY" each,
/// where ROLE is viewer or admin.
///
/// The file is read again for every call, so that keys are rotated without a
/// restart. Keys are compared in constant time.
///
/// Thread safety: safe from any thread.
class OperatorKeys {
public:
  /// An empty \p Path means that no key is needed; every caller is then an
  /// administrator named by the Daisyspool-Operator header.
  explicit OperatorKeys(std::string Path) : Path(std::move(Path)) {}

  /// The identity behind `Authorization: Bearer KEY`, or nothing.
  std::optional<OperatorIdentity> identify(const http::Request &Call) const;

private:
  std::string Path;
};

} // namespace daisyspool

#endif // DAISYSPOOL_ADMIN_OPERATORKEYS_H
