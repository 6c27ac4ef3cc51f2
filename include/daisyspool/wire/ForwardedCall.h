#ifndef DAISYSPOOL_WIRE_FORWARDEDCALL_H
#define DAISYSPOOL_WIRE_FORWARDEDCALL_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/wire/Adaptors.h"

#include <string>

namespace daisyspool::wire {

/// The call that a RunOrder carries in its body.
///
/// A claim is matched by a digest of the whole call, so the digest does not
/// cover the remaining time, which differs between two tries of a caller.
struct ForwardedCall {
  std::string Method;
  std::string Path;
  std::string Body;

  MSGPACK_DEFINE_ARRAY(Method, Path, Body)
};

std::string encodeCall(const ForwardedCall &What);

/// Throws ProtocolError.
ForwardedCall decodeCall(const std::string &Bytes);

} // namespace daisyspool::wire

#endif // DAISYSPOOL_WIRE_FORWARDEDCALL_H
