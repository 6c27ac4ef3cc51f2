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

/// Thrown for a caller's request that is malformed. It was not run.
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

/// One request to a service, with the settings from its headers.
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
  /// Whether the answer is a stream of frames.
  bool Streamed = false;
  Duration Deadline{};
  wire::TraceContext Trace;
  /// The Last-Event-ID of a resumed stream; otherwise empty.
  std::string LastEvent;
  std::string Method;
  std::string Path;
  std::string Body;
};

/// Parses and checks a request to `/v1/services/SERVICE/PATH`.
///
/// Precondition: isServicePath() is true for the target of \p Received.
/// Thread safety: safe from any thread with its own \p Source. Errors: throws
/// BadRequest.
CallerRequest parseCallerRequest(http::Request Received,
                                 Duration DefaultDeadline, Random &Source);

/// Whether \p Target is a path below `/v1/services/`.
bool isServicePath(std::string_view Target);

} // namespace daisyspool

#endif // DAISYSPOOL_ENTRY_CALLERREQUEST_H
