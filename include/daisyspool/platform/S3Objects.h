#ifndef DAISYSPOOL_PLATFORM_S3OBJECTS_H
#define DAISYSPOOL_PLATFORM_S3OBJECTS_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/http/Types.h"
#include "daisyspool/platform/ObjectStore.h"
#include "daisyspool/platform/SignatureV4.h"

#include <memory>
#include <optional>
#include <string>

namespace daisyspool {

/// ObjectStore over S3's REST API with path-style URLs.
///
/// Each object carries the SHA-256 of its bytes as user metadata, and get()
/// checks it, so that no task resumes from a damaged checkpoint. No call is
/// repeated here, see RetryPolicy.h.
///
/// Thread safety: one thread per instance.
class S3Objects final : public ObjectStore {
public:
  struct Options {
    http::Endpoint Server;
    std::string Bucket = "daisyspool";
    std::string Region = "us-east-1";
    /// Requests are signed if this is set.
    std::optional<AccessKey> Key = std::nullopt;
    /// Time limit of each HTTP call; longer than for the table service, as
    /// objects are larger than rows.
    Millis Timeout{10000};
  };

  /// \p Time is the clock for the dates of signatures and must outlive this
  /// object.
  S3Objects(Options Config, const Clock &Time);
  ~S3Objects() override;

  void put(const std::string &Key, const std::string &Bytes) override;
  std::optional<std::string> get(const std::string &Key) override;
  void remove(const std::string &Key) override;

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace daisyspool

#endif // DAISYSPOOL_PLATFORM_S3OBJECTS_H
