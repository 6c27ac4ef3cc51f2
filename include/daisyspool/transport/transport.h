// The transport module: connections between the system's own processes over
// nng, with detection of connections that have gone silent.
//
//   Inbox.h     bounded ring into an I/O thread, with a wake-up
//   Link.h      the dialling end: one connection to one peer
//   Listener.h  the accepting end: many peers
//
// See Link.h next.
#ifndef DAISYSPOOL_TRANSPORT_TRANSPORT_H
#define DAISYSPOOL_TRANSPORT_TRANSPORT_H

#include "daisyspool/transport/Inbox.h"
#include "daisyspool/transport/Link.h"
#include "daisyspool/transport/Listener.h"

#endif // DAISYSPOOL_TRANSPORT_TRANSPORT_H
