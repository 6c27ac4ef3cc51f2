// The wire module: the messages between the system's own processes and their
// MessagePack codec. It has no threads and does no I/O.
//
//   Messages.h  the message types and the envelope
//   Codec.h     encoding and decoding with the protocol version check
//   Adaptors.h  MessagePack adaptors for strong types
//   Document.h  bounded JSON and MessagePack documents of other writers
//
// See Messages.h next.
#ifndef DAISYSPOOL_WIRE_WIRE_H
#define DAISYSPOOL_WIRE_WIRE_H

#include "daisyspool/wire/Codec.h"
#include "daisyspool/wire/Messages.h"

#endif // DAISYSPOOL_WIRE_WIRE_H
