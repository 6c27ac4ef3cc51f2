#ifndef DAISYSPOOL_ENTRY_CALLERREQUEST_H
#define DAISYSPOOL_ENTRY_CALLERREQUEST_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Ids.h"
#include "daisyspool/core/Random.h"
#include "daisyspool/core/WorkClass.h"
#include "daisyspool/http/Types.h"
#include "daisyspool/wire/Messages.h"

#include <string>

namespace daisyspool {

/// A caller's request that cannot be understood; it was not run.
class BadRequest : public Error {
public:
  BadRequest(int Status, std::string Type, const std::string &Detail)
      : Error(Detail), Status(Status), Type(std::move(Type)) {}

  int status() const { return Status; }
  const std::string &type() const { return Type; }

private:
  int Status;
  std::string Type;
};

/// One request to a service, as its headers state it.
///
/// Filled by parseCallerRequest(); docs/callers.md lists the headers.
struct CallerRequest {
  RequestId Id;
  ServiceId Service;
  TeamId Team;
  CallerId Caller;
  WorkClass Class = WorkClass::Standard;
  /// False if the caller sent an Idempotency-Key: it must run at most once.
  bool Idempotent = true;
  /// The answer is a stream of frames.
  bool Streamed = false;
  Duration Deadline{};
  wire::TraceContext Trace;
  /// The last event that the caller of a resumed stream has; else empty.
  std::string LastEvent;
  std::string Method;
  std::string Path;
  std::string Body;
};

/// Checks a request to `/v1/services/SERVICE/PATH`.
///
/// Thread safety: safe from any thread with its own \p Source. Errors: throws
/// BadRequest.
CallerRequest parseCallerRequest(http::Request Received,
                                 Duration DefaultDeadline, Random &Source);

/// Whether \p Target names a service request.
bool isServicePath(std::string_view Target);

} // namespace daisyspool

#endif // DAISYSPOOL_ENTRY_CALLERREQUEST_H
