// The membership module: the set of live processes, maintained by SWIM over
// UDP. The protocol does no I/O itself; UdpDriver runs it on a socket.
//
//   Member.h           a member, its info and the updates about it
//   MembershipTable.h  one process's copy of the membership
//   Datagram.h         message types and their MessagePack codec
//   SwimProtocol.h     probes, suspicion, dissemination and anti-entropy
//   UdpDriver.h        the UDP socket and the timer, on an io_context
#ifndef DAISYSPOOL_MEMBERSHIP_MEMBERSHIP_H
#define DAISYSPOOL_MEMBERSHIP_MEMBERSHIP_H

#include "daisyspool/membership/Datagram.h"
#include "daisyspool/membership/Member.h"
#include "daisyspool/membership/MembershipTable.h"
#include "daisyspool/membership/SwimProtocol.h"
#include "daisyspool/membership/UdpDriver.h"

#endif // DAISYSPOOL_MEMBERSHIP_MEMBERSHIP_H
