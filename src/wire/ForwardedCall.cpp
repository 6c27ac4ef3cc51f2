#include "daisyspool/wire/ForwardedCall.h"

#include "daisyspool/core/Errors.h"

namespace daisyspool::wire {

std::string encodeCall(const ForwardedCall &Call) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Call);
  return {Buffer.data(), Buffer.size()};
}

ForwardedCall decodeCall(const std::string &Bytes) {
  try {
    return msgpack::unpack(Bytes.data(), Bytes.size())
        .get()
        .as<ForwardedCall>();
  } catch (const msgpack::type_error &) {
    throw ProtocolError("a forwarded call has a field of the wrong type");
  } catch (const msgpack::unpack_error &) {
    throw ProtocolError("a forwarded call is not valid MessagePack");
  }
}

} // namespace daisyspool::wire
