#ifndef DAISYSPOOL_PLATFORM_OBJECTSTORE_H
#define DAISYSPOOL_PLATFORM_OBJECTSTORE_H

#include <optional>
#include <string>

namespace daisyspool {

/// The platform's object store, for snapshots and checkpoints.
///
/// Thread safety: one thread per instance. Calls block.
class ObjectStore {
public:
  ObjectStore() = default;
  ObjectStore(const ObjectStore &) = delete;
  ObjectStore &operator=(const ObjectStore &) = delete;
  virtual ~ObjectStore() = default;

  /// Creates or replaces an object. Throws PlatformUnavailable (effect
  /// unknown) or PlatformThrottled (nothing changed).
  virtual void put(const std::string &Key, const std::string &Bytes) = 0;

  /// Returns the object, or nothing if there is none. Throws
  /// PlatformUnavailable or PlatformThrottled.
  virtual std::optional<std::string> get(const std::string &Key) = 0;

  /// Removes the object if it exists. Throws as put does.
  virtual void remove(const std::string &Key) = 0;
};

} // namespace daisyspool

#endif // DAISYSPOOL_PLATFORM_OBJECTSTORE_H
