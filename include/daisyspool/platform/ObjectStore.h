#ifndef DAISYSPOOL_PLATFORM_OBJECTSTORE_H
#define DAISYSPOOL_PLATFORM_OBJECTSTORE_H

#include "daisyspool/core/Errors.h"

#include <optional>
#include <string>

namespace daisyspool {

/// The platform's object store, for checkpoints and snapshots.
///
/// Objects have no conditions or transactions: write each object under a unique
/// key first and refer to it from a table row afterwards. See S3Objects.h for
/// the implementation over HTTP.
///
/// Every call blocks and may throw PlatformUnavailable (the effect is unknown),
/// PlatformThrottled (nothing changed) or PlatformProtocolError.
///
/// Thread safety: one thread per instance.
class ObjectStore {
public:
  ObjectStore() = default;
  ObjectStore(const ObjectStore &) = delete;
  ObjectStore &operator=(const ObjectStore &) = delete;
  virtual ~ObjectStore() = default;

  /// Creates or replaces the whole object. Precondition: \p Key is not empty.
  virtual void put(const std::string &Key, const std::string &Bytes) = 0;

  /// Returns the whole object, or nothing if it does not exist.
  virtual std::optional<std::string> get(const std::string &Key) = 0;

  /// Removes the object; an object that does not exist is no error.
  virtual void remove(const std::string &Key) = 0;
};

} // namespace daisyspool

#endif // DAISYSPOOL_PLATFORM_OBJECTSTORE_H
