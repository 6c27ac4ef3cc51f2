#ifndef DAISYSPOOL_WIRE_ANNOUNCEMENT_H
#define DAISYSPOOL_WIRE_ANNOUNCEMENT_H

#include "daisyspool/core/Ids.h"
#include "daisyspool/core/Units.h"
#include "daisyspool/http/Types.h"

#include <cstdint>
#include <string>

namespace daisyspool::wire {

/// Description of an agent and its target, sent as JSON over HTTP through the
/// balancer to any entry.
struct Announcement {
  ProcessId Agent;
  Incarnation Number;
  VmId Vm;
  RackId Rack;
  FailureDomainId FailureDomain;
  ServiceId Service;
  /// Address that entries dial for links.
  http::Endpoint Links;
  /// UDP address of the gossip protocol.
  http::Endpoint Gossip;
  Resources Capacity;
  std::uint32_t Slots = 0;
  std::uint32_t Connections = 0;
  bool Leaving = false;
};

/// Encodes as a JSON object.
std::string toJson(const Announcement &Message);

/// Decodes; throws ProtocolError if a field is missing or has a wrong type.
Announcement parseAnnouncement(const std::string &Json);

} // namespace daisyspool::wire

#endif // DAISYSPOOL_WIRE_ANNOUNCEMENT_H
