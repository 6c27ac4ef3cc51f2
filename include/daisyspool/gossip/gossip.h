// The gossip module: runs membership and the configuration spread of one
// process on a thread of its own.
//
//   GossipDuty.h  the duty: datagrams in and out, members and configuration
//
// See GossipDuty.h next.
#ifndef DAISYSPOOL_GOSSIP_GOSSIP_H
#define DAISYSPOOL_GOSSIP_GOSSIP_H

#include "daisyspool/gossip/GossipDuty.h"

#endif // DAISYSPOOL_GOSSIP_GOSSIP_H
