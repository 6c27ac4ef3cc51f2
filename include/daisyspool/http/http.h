// The http module: HTTP/1.1 server and client on Boost.Beast for every
// connection with a published protocol: callers, operators, targets, platform.
// The headers expose no Beast type, which keeps build times low.
//
//   Types.h    requests, responses, endpoints, problem documents
//   Server.h   accepts connections and passes requests to a handler
//   InboundBudget.h  limits of the memory and descriptors of connections
//   Client.h   keep-alive client with timeouts, asynchronous or blocking
//
// See Server.h next.
#ifndef DAISYSPOOL_HTTP_HTTP_H
#define DAISYSPOOL_HTTP_HTTP_H

#include "daisyspool/http/Client.h"
#include "daisyspool/http/InboundBudget.h"
#include "daisyspool/http/Server.h"
#include "daisyspool/http/Types.h"

#endif // DAISYSPOOL_HTTP_HTTP_H
