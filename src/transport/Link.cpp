#include "daisyspool/transport/Link.h"

#include "daisyspool/transport/Inbox.h"
#include "daisyspool/wire/Codec.h"
#include "transport/NngHandle.h"

#include <nng/protocol/reqrep0/req.h>

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <optional>

namespace daisyspool {

namespace {

/// A received message, or the error of decoding it, passed from the receiving
/// thread to the I/O thread.
struct ReceivedMessage {
  wire::Envelope Message;
  std::optional<std::string> DecodeError;
};

// A raw REQ socket requires request ids with the highest bit set.
constexpr std::uint32_t RequestIdFlag = 0x80000000U;
constexpr int SendBufferMessages = 4096;

/// One socket with a single connection. Both are destroyed when the connection
/// is lost, so that queued messages are not sent on a later one.
class Connection {
public:
  Connection(const http::Endpoint &Peer,
             std::shared_ptr<Inbox<ReceivedMessage>> ReceiveQueue)
      : Socket(nng_req0_open_raw), ReceiveQueue(std::move(ReceiveQueue)) {
    nng_socket Handle = Socket.handle();
    checkNng(nng_socket_set_int(Handle, NNG_OPT_SENDBUF, SendBufferMessages),
             "set send buffer");
    checkNng(nng_socket_set_size(Handle, NNG_OPT_RECVMAXSZ, 0),
             "set receive limit");
    nng_pipe_notify(Handle, NNG_PIPE_EV_ADD_POST, &Connection::pipeAdded, this);
    nng_pipe_notify(Handle, NNG_PIPE_EV_REM_POST, &Connection::pipeRemoved,
                    this);
    Receiver.emplace(Handle,
                     [this](const NngMessage &Message) { receive(Message); });

    std::string Url = "tcp://" + http::toString(Peer);
    checkNng(nng_dial(Handle, Url.c_str(), nullptr, NNG_FLAG_NONBLOCK),
             "dial " + Url);
  }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  bool established() const { return Pipes.load() > 0; }
  bool lost() const { return Lost.load(); }

  bool send(const std::string &Bytes) {
    NngMessage Message(Bytes);
    nng_msg_header_append_u32(Message.handle(),
                              RequestIdFlag | ++RequestNumber);
    return trySend(Socket.handle(), Message);
  }

private:
  static void pipeAdded(nng_pipe, nng_pipe_ev, void *Argument) {
    static_cast<Connection *>(Argument)->Pipes.fetch_add(1);
  }

  static void pipeRemoved(nng_pipe, nng_pipe_ev, void *Argument) {
    auto *Self = static_cast<Connection *>(Argument);
    Self->Pipes.fetch_sub(1);
    Self->Lost.store(true);
  }

  void receive(const NngMessage &Message) {
    ReceivedMessage Item;
    try {
      Item.Message = wire::decode(Message.body());
    } catch (const ProtocolError &Problem) {
      Item.DecodeError = Problem.what();
    }

    // If the queue is full, the reply is dropped; its attempt then times out
    // with an unknown outcome.
    ReceiveQueue->tryPush(Item);
  }

  std::atomic<int> Pipes{0};
  std::atomic<bool> Lost{false};
  std::uint32_t RequestNumber = 0;
  NngSocket Socket;
  std::shared_ptr<Inbox<ReceivedMessage>> ReceiveQueue;
  std::optional<NngReceiver> Receiver;
};

} // namespace

class Link::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(boost::asio::io_context &Io, Options Config, Callbacks Hooks)
      : Io(Io), Config(std::move(Config)), Hooks(std::move(Hooks)), Timer(Io) {}

  void start() {
    open();
    scheduleStep();
  }

  void stop() {
    Stopped = true;
    Timer.cancel();
    close();
  }

  SendResult send(const wire::Envelope &Message) {
    if (!Up)
      return SendResult::NotConnected;

    LastIdentity = {
        Message.From, Message.SenderIncarnation, Message.Config, {}};
    return Current->send(wire::encode(Message)) ? SendResult::Sent
                                                : SendResult::Full;
  }

  bool up() const { return Up; }
  const http::Endpoint &peer() const { return Config.Peer; }

private:
  // Short, so that a new connection is usable soon after it is established.
  static constexpr Millis ConnectPollInterval{20};
  static constexpr Millis RedialDelay{200};
  static constexpr Millis ConnectTimeout{3000};

  void open() {
    ReceiveQueue = std::make_shared<Inbox<ReceivedMessage>>(
        Io, Config.RingCapacity,
        [Weak = weak_from_this()](ReceivedMessage Item) {
          if (auto Self = Weak.lock())
            Self->receive(std::move(Item));
        });
    UnansweredHeartbeats = 0;
    ConnectWait = Millis(0);
    try {
      Current = std::make_unique<Connection>(Config.Peer, ReceiveQueue);
    } catch (const TransportError &Problem) {
      Current.reset();
      reportError(Problem.what());
    }
  }

  void close() {
    if (ReceiveQueue)
      ReceiveQueue->close();
    Current.reset();
    if (!Up)
      return;

    Up = false;
    if (Hooks.OnDown && !Stopped)
      Hooks.OnDown();
  }

  void reopen() {
    close();
    Reopening = true;
  }

  void scheduleStep() {
    Duration Step = Up          ? Duration(Config.HeartbeatInterval)
                    : Reopening ? Duration(RedialDelay)
                                : Duration(ConnectPollInterval);
    Timer.expires_after(Step);
    Timer.async_wait(
        [Weak = weak_from_this(), Step](boost::system::error_code Failure) {
          auto Self = Weak.lock();
          if (Failure || !Self || Self->Stopped)
            return;
          Self->step(Step);
          Self->scheduleStep();
        });
  }

  void step(Duration Passed) {
    if (Reopening || !Current) {
      Reopening = false;
      open();
      return;
    }
    if (Up)
      return sendHeartbeat();

    ConnectWait += Passed;
    if (Current->established())
      return onConnected();
    if (ConnectWait >= ConnectTimeout || Current->lost())
      reopen();
  }

  void onConnected() {
    Up = true;
    UnansweredHeartbeats = 0;
    if (Hooks.OnUp)
      Hooks.OnUp();
  }

  void sendHeartbeat() {
    if (Current->lost() || UnansweredHeartbeats >= Config.MissedHeartbeats)
      return reopen();

    ++UnansweredHeartbeats;
    wire::Envelope Message = LastIdentity;
    Message.Content = wire::Heartbeat{++HeartbeatSequence};
    Current->send(wire::encode(Message));
  }

  void receive(ReceivedMessage Item) {
    // Any message proves that the connection works.
    UnansweredHeartbeats = 0;
    if (Item.DecodeError)
      return reportError(*Item.DecodeError);
    if (std::holds_alternative<wire::HeartbeatReply>(Item.Message.Content))
      return;

    Hooks.OnMessage(std::move(Item.Message));
  }

  void reportError(const std::string &Detail) {
    if (Hooks.OnProtocolError)
      Hooks.OnProtocolError(Detail);
  }

  boost::asio::io_context &Io;
  Options Config;
  Callbacks Hooks;
  boost::asio::steady_timer Timer;
  std::shared_ptr<Inbox<ReceivedMessage>> ReceiveQueue;
  std::unique_ptr<Connection> Current;
  /// Sender fields of the last message sent, which heartbeats repeat.
  wire::Envelope LastIdentity;
  std::uint64_t HeartbeatSequence = 0;
  Duration ConnectWait{};
  int UnansweredHeartbeats = 0;
  bool Up = false;
  bool Reopening = false;
  bool Stopped = false;
};

Link::Link(boost::asio::io_context &Io, Options Config, Callbacks Hooks)
    : State(std::make_shared<Impl>(Io, std::move(Config), std::move(Hooks))) {
  State->start();
}

Link::~Link() { State->stop(); }

Link::SendResult Link::send(const wire::Envelope &Message) {
  return State->send(Message);
}

bool Link::up() const { return State->up(); }

const http::Endpoint &Link::peer() const { return State->peer(); }

} // namespace daisyspool
