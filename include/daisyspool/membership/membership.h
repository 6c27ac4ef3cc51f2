// The membership module: which processes exist, by SWIM over UDP. The state
// machines are pure; UdpDriver runs them on a socket.
//
//   Member.h           a member, its info and the updates about it
//   MembershipTable.h  one process's copy of the membership
//   Datagram.h         messages and their MessagePack codec
//   SwimProtocol.h     probes, suspicion, dissemination and anti-entropy
//   UdpDriver.h        the socket and timer on an io_context
#ifndef DAISYSPOOL_MEMBERSHIP_MEMBERSHIP_H
#define DAISYSPOOL_MEMBERSHIP_MEMBERSHIP_H

#include "daisyspool/membership/Datagram.h"
#include "daisyspool/membership/Member.h"
#include "daisyspool/membership/MembershipTable.h"
#include "daisyspool/membership/SwimProtocol.h"
#include "daisyspool/membership/UdpDriver.h"

#endif // DAISYSPOOL_MEMBERSHIP_MEMBERSHIP_H
