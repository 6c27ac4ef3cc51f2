// The transport module: connections between the system's own processes over
// nng, with heartbeats that detect connections on which the peer stops
// answering.
//
//   Inbox.h     bounded queue to an I/O thread, which it wakes up
//   Link.h      the client end: one connection to one peer
//   Listener.h  the server end: connections from many peers
//
// See Link.h next.
#ifndef DAISYSPOOL_TRANSPORT_TRANSPORT_H
#define DAISYSPOOL_TRANSPORT_TRANSPORT_H

#include "daisyspool/transport/Inbox.h"
#include "daisyspool/transport/Link.h"
#include "daisyspool/transport/Listener.h"

#endif // DAISYSPOOL_TRANSPORT_TRANSPORT_H
