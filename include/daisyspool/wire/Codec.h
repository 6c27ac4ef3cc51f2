#ifndef DAISYSPOOL_WIRE_CODEC_H
#define DAISYSPOOL_WIRE_CODEC_H

#include "daisyspool/wire/Messages.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace daisyspool::wire {

/// Version of the protocol between the system's own processes.
inline constexpr std::uint32_t ProtocolVersion = 1;

/// A peer that speaks another protocol version.
class VersionMismatch : public ProtocolError {
public:
  explicit VersionMismatch(std::uint32_t Found)
      : ProtocolError("protocol version " + std::to_string(Found) +
                      ", expected " + std::to_string(ProtocolVersion)),
        Found(Found) {}

  std::uint32_t found() const { return Found; }

private:
  std::uint32_t Found;
};

/// Encodes a message.
///
/// Thread safety: safe from any thread.
std::string encode(const Envelope &What);

/// Decodes a message.
///
/// Thread safety: safe from any thread. Errors: throws VersionMismatch for
/// another protocol version and ProtocolError for anything malformed.
Envelope decode(std::string_view Bytes);

} // namespace daisyspool::wire

#endif // DAISYSPOOL_WIRE_CODEC_H
