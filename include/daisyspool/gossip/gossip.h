// The gossip module: runs the membership protocol and the distribution of the
// configuration of one process on a thread of its own.
//
//   GossipDuty.h  exchanges datagrams, reports members and configuration
//
// See GossipDuty.h next.
#ifndef DAISYSPOOL_GOSSIP_GOSSIP_H
#define DAISYSPOOL_GOSSIP_GOSSIP_H

#include "daisyspool/gossip/GossipDuty.h"

#endif // DAISYSPOOL_GOSSIP_GOSSIP_H
