#ifndef DAISYSPOOL_WIRE_CODEC_H
#define DAISYSPOOL_WIRE_CODEC_H

#include "daisyspool/wire/Messages.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace daisyspool::wire {

/// Version of the protocol between the system's own processes.
inline constexpr std::uint32_t ProtocolVersion = 1;

/// A message of another protocol version.
class VersionMismatch : public ProtocolError {
public:
  explicit VersionMismatch(std::uint32_t PeerVersion)
      : ProtocolError("protocol version " + std::to_string(PeerVersion) +
                      ", expected " + std::to_string(ProtocolVersion)),
        PeerVersion(PeerVersion) {}

  std::uint32_t peerVersion() const { return PeerVersion; }

private:
  std::uint32_t PeerVersion;
};

/// Encodes a message.
///
/// Thread safety: safe from any thread.
std::string encode(const Envelope &Message);

/// Decodes a message.
///
/// Thread safety: safe from any thread. Errors: throws VersionMismatch for
/// another protocol version and ProtocolError for a malformed message.
Envelope decode(std::string_view Bytes);

} // namespace daisyspool::wire

#endif // DAISYSPOOL_WIRE_CODEC_H
