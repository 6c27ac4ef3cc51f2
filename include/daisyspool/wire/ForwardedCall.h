#ifndef DAISYSPOOL_WIRE_FORWARDEDCALL_H
#define DAISYSPOOL_WIRE_FORWARDEDCALL_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/wire/Adaptors.h"

#include <string>

namespace daisyspool::wire {

/// The caller's HTTP request that a RunOrder carries in its body.
///
/// A claim is matched by a digest of the whole call. The remaining time is not
/// part of it, because it differs when a caller repeats the request.
struct ForwardedCall {
  std::string Method;
  std::string Path;
  std::string Body;

  MSGPACK_DEFINE_ARRAY(Method, Path, Body)
};

/// Encodes as a MessagePack array.
std::string encodeCall(const ForwardedCall &Call);

/// Throws ProtocolError if \p Bytes is malformed.
ForwardedCall decodeCall(const std::string &Bytes);

} // namespace daisyspool::wire

#endif // DAISYSPOOL_WIRE_FORWARDEDCALL_H
