// RAII owners of nng sockets, messages and asynchronous operations.
#ifndef DAISYSPOOL_SRC_TRANSPORT_NNGHANDLE_H
#define DAISYSPOOL_SRC_TRANSPORT_NNGHANDLE_H

#include "daisyspool/transport/Listener.h"

#include <nng/nng.h>

#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace daisyspool {

/// Throws TransportError if \p Result is an nng error code.
inline void checkNng(int Result, const std::string &Operation) {
  if (Result != 0)
    throw TransportError(Operation + ": " + nng_strerror(Result));
}

/// Owns a socket. The destructor waits for callbacks in progress.
class NngSocket {
public:
  using Opener = int (*)(nng_socket *);

  explicit NngSocket(Opener Open) { checkNng(Open(&Socket), "open socket"); }
  NngSocket(const NngSocket &) = delete;
  NngSocket &operator=(const NngSocket &) = delete;
  ~NngSocket() { nng_close(Socket); }

  nng_socket handle() const { return Socket; }

private:
  nng_socket Socket = NNG_SOCKET_INITIALIZER;
};

/// Owns a message until release() hands it over to nng.
class NngMessage {
public:
  explicit NngMessage(nng_msg *Message) : Message(Message) {}
  explicit NngMessage(std::string_view Body) {
    checkNng(nng_msg_alloc(&Message, 0), "allocate message");
    checkNng(nng_msg_append(Message, Body.data(), Body.size()), "fill message");
  }
  NngMessage(const NngMessage &) = delete;
  NngMessage &operator=(const NngMessage &) = delete;
  ~NngMessage() {
    if (Message != nullptr)
      nng_msg_free(Message);
  }

  nng_msg *handle() const { return Message; }
  void release() { Message = nullptr; }

  std::string_view body() const {
    return {static_cast<const char *>(nng_msg_body(Message)),
            nng_msg_len(Message)};
  }

  std::string header() const {
    return {static_cast<const char *>(nng_msg_header(Message)),
            nng_msg_header_len(Message)};
  }

private:
  nng_msg *Message = nullptr;
};

/// Receives messages from a socket until it is destroyed. The handler runs on
/// an nng thread, for one message at a time.
class NngReceiver {
public:
  using Handler = std::function<void(const NngMessage &)>;

  NngReceiver(nng_socket Socket, Handler OnMessage)
      : Socket(Socket), OnMessage(std::move(OnMessage)) {
    checkNng(nng_aio_alloc(&Aio, &NngReceiver::received, this),
             "allocate receive operation");
    nng_recv_aio(Socket, Aio);
  }
  NngReceiver(const NngReceiver &) = delete;
  NngReceiver &operator=(const NngReceiver &) = delete;
  ~NngReceiver() {
    nng_aio_stop(Aio);
    nng_aio_free(Aio);
  }

private:
  static void received(void *Argument) {
    auto *Self = static_cast<NngReceiver *>(Argument);
    if (nng_aio_result(Self->Aio) != 0)
      return;

    NngMessage Message(nng_aio_get_msg(Self->Aio));
    Self->OnMessage(Message);
    nng_recv_aio(Self->Socket, Self->Aio);
  }

  nng_socket Socket;
  Handler OnMessage;
  nng_aio *Aio = nullptr;
};

/// Sends without blocking. Returns false if nng did not accept the message, for
/// example because the send buffer is full; \p Message then keeps owning it.
inline bool trySend(nng_socket Socket, NngMessage &Message) {
  if (nng_sendmsg(Socket, Message.handle(), NNG_FLAG_NONBLOCK) != 0)
    return false;

  Message.release();
  return true;
}

} // namespace daisyspool

#endif // DAISYSPOOL_SRC_TRANSPORT_NNGHANDLE_H
