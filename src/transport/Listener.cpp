#include "daisyspool/transport/Listener.h"

#include "daisyspool/transport/Inbox.h"
#include "daisyspool/wire/Codec.h"
#include "transport/NngHandle.h"

#include <nng/protocol/reqrep0/rep.h>

#include <optional>

namespace daisyspool {

namespace {

constexpr int SendBufferMessages = 4096;

/// A received message, or the error of decoding it, passed from the receiving
/// thread to the I/O thread.
struct ReceivedMessage {
  wire::Envelope Message;
  ReplyPath From;
  std::optional<std::string> DecodeError;
};

} // namespace

class Listener::Impl {
public:
  Impl(boost::asio::io_context &Io, const Options &Config, Identity Self,
       Callbacks Hooks)
      : Self(std::move(Self)), Hooks(std::move(Hooks)),
        Socket(nng_rep0_open_raw),
        ReceiveQueue(std::make_shared<Inbox<ReceivedMessage>>(
            Io, Config.RingCapacity,
            [this](ReceivedMessage Item) { deliver(std::move(Item)); })) {
    nng_socket Handle = Socket.handle();
    checkNng(nng_socket_set_int(Handle, NNG_OPT_SENDBUF, SendBufferMessages),
             "set send buffer");
    checkNng(nng_socket_set_size(Handle, NNG_OPT_RECVMAXSZ, 0),
             "set receive limit");
    std::string Url = "tcp://" + http::toString(Config.Listen);
    nng_listener Bound;
    checkNng(nng_listen(Handle, Url.c_str(), &Bound, 0), "listen on " + Url);
    nng_sockaddr Address;
    checkNng(nng_listener_get_addr(Bound, NNG_OPT_LOCADDR, &Address),
             "read bound address");
    Port = ntohs(Address.s_in.sa_port);
    Receiver.emplace(Handle,
                     [this](const NngMessage &Message) { receive(Message); });
  }

  void close() { ReceiveQueue->close(); }

  bool reply(const ReplyPath &To, const wire::Envelope &Message) {
    NngMessage Encoded(wire::encode(Message));
    nng_msg_header_append(Encoded.handle(), To.Header.data(), To.Header.size());
    return trySend(Socket.handle(), Encoded);
  }

  std::uint16_t port() const { return Port; }

private:
  void receive(const NngMessage &Message) {
    ReceivedMessage Item;
    Item.From.Header = Message.header();
    try {
      Item.Message = wire::decode(Message.body());
    } catch (const ProtocolError &Problem) {
      Item.DecodeError = Problem.what();
    }

    if (const auto *Heartbeat =
            std::get_if<wire::Heartbeat>(&Item.Message.Content);
        Heartbeat != nullptr && !Item.DecodeError)
      return answerHeartbeat(Item, Heartbeat->Sequence);
    if (ReceiveQueue->tryPush(Item) || !Hooks.OnOverflow || Item.DecodeError)
      return;
    if (auto Refusal = Hooks.OnOverflow(Item.Message))
      reply(Item.From, *Refusal);
  }

  void answerHeartbeat(const ReceivedMessage &Received,
                       std::uint64_t Sequence) {
    reply(Received.From, {Self.Process, Self.Number, Received.Message.Config,
                          wire::HeartbeatReply{Sequence}});
  }

  void deliver(ReceivedMessage Item) {
    if (!Item.DecodeError)
      return Hooks.OnMessage(std::move(Item.Message), std::move(Item.From));
    if (Hooks.OnProtocolError)
      Hooks.OnProtocolError(*Item.DecodeError);
  }

  Identity Self;
  Callbacks Hooks;
  NngSocket Socket;
  std::shared_ptr<Inbox<ReceivedMessage>> ReceiveQueue;
  std::uint16_t Port = 0;
  std::optional<NngReceiver> Receiver;
};

Listener::Listener(boost::asio::io_context &Io, Options Config, Identity Self,
                   Callbacks Hooks)
    : State(std::make_shared<Impl>(Io, Config, std::move(Self),
                                   std::move(Hooks))) {}

Listener::~Listener() { State->close(); }

bool Listener::reply(const ReplyPath &To, const wire::Envelope &Message) {
  return State->reply(To, Message);
}

std::uint16_t Listener::port() const { return State->port(); }

} // namespace daisyspool
