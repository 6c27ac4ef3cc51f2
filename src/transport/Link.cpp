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

/// What the receiving thread passes to the I/O thread.
struct Received {
  wire::Envelope Message;
  std::optional<std::string> DecodeError;
};

// Raw REQ sockets require a request id with the highest bit set.
constexpr std::uint32_t RequestIdFlag = 0x80000000U;
constexpr int SendBufferMessages = 4096;

/// One socket and its single connection. Destroyed as a whole when the
/// connection is lost, so that queued messages never reach a later one.
class Connection {
public:
  Connection(const http::Endpoint &Peer, std::shared_ptr<Inbox<Received>> To)
      : Socket(nng_req0_open_raw), To(std::move(To)) {
    nng_socket Handle = Socket.handle();
    checkNng(nng_socket_set_int(Handle, NNG_OPT_SENDBUF, SendBufferMessages),
             "set send buffer");
    checkNng(nng_socket_set_size(Handle, NNG_OPT_RECVMAXSZ, 0),
             "set receive limit");
    nng_pipe_notify(Handle, NNG_PIPE_EV_ADD_POST, &Connection::added, this);
    nng_pipe_notify(Handle, NNG_PIPE_EV_REM_POST, &Connection::removed, this);
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
  static void added(nng_pipe, nng_pipe_ev, void *Argument) {
    static_cast<Connection *>(Argument)->Pipes.fetch_add(1);
  }

  static void removed(nng_pipe, nng_pipe_ev, void *Argument) {
    auto *Self = static_cast<Connection *>(Argument);
    Self->Pipes.fetch_sub(1);
    Self->Lost.store(true);
  }

  void receive(const NngMessage &Message) {
    Received Item;
    try {
      Item.Message = wire::decode(Message.body());
    } catch (const ProtocolError &Problem) {
      Item.DecodeError = Problem.what();
    }

    // A full ring drops the answer; its attempt then times out as unknown.
    To->tryPush(Item);
  }

  std::atomic<int> Pipes{0};
  std::atomic<bool> Lost{false};
  std::uint32_t RequestNumber = 0;
  NngSocket Socket;
  std::shared_ptr<Inbox<Received>> To;
  std::optional<NngReceiver> Receiver;
};

} // namespace

class Link::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(boost::asio::io_context &Io, Options Config, Callbacks Hooks)
      : Io(Io), Config(std::move(Config)), Hooks(std::move(Hooks)), Timer(Io) {}

  void start() {
    open();
    schedule();
  }

  void stop() {
    Stopped = true;
    Timer.cancel();
    close();
  }

  SendResult send(const wire::Envelope &What) {
    if (!Up)
      return SendResult::NotConnected;

    LastIdentity = {What.From, What.SenderIncarnation, What.Config, {}};
    return Current->send(wire::encode(What)) ? SendResult::Sent
                                             : SendResult::Full;
  }

  bool up() const { return Up; }
  const http::Endpoint &peer() const { return Config.Peer; }

private:
  // The first steps after dialling check more often, so that a new link is
  // usable soon.
  static constexpr Millis ConnectPoll{20};
  static constexpr Millis RedialDelay{200};
  static constexpr Millis ConnectTimeout{3000};

  void open() {
    Box = std::make_shared<Inbox<Received>>(
        Io, Config.RingCapacity, [Weak = weak_from_this()](Received Item) {
          if (auto Self = Weak.lock())
            Self->receive(std::move(Item));
        });
    Unanswered = 0;
    Waited = Millis(0);
    try {
      Current = std::make_unique<Connection>(Config.Peer, Box);
    } catch (const TransportError &Problem) {
      Current.reset();
      report(Problem.what());
    }
  }

  void close() {
    if (Box)
      Box->close();
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

  void schedule() {
    Duration Step = Up          ? Duration(Config.HeartbeatInterval)
                    : Reopening ? Duration(RedialDelay)
                                : Duration(ConnectPoll);
    Timer.expires_after(Step);
    Timer.async_wait(
        [Weak = weak_from_this(), Step](boost::system::error_code Failure) {
          auto Self = Weak.lock();
          if (Failure || !Self || Self->Stopped)
            return;
          Self->step(Step);
          Self->schedule();
        });
  }

  void step(Duration Passed) {
    if (Reopening || !Current) {
      Reopening = false;
      open();
      return;
    }
    if (Up)
      return heartbeat();

    Waited += Passed;
    if (Current->established())
      return connected();
    if (Waited >= ConnectTimeout || Current->lost())
      reopen();
  }

  void connected() {
    Up = true;
    Unanswered = 0;
    if (Hooks.OnUp)
      Hooks.OnUp();
  }

  void heartbeat() {
    if (Current->lost() || Unanswered >= Config.MissedHeartbeats)
      return reopen();

    ++Unanswered;
    wire::Envelope Beat = LastIdentity;
    Beat.Content = wire::Heartbeat{++HeartbeatSequence};
    Current->send(wire::encode(Beat));
  }

  void receive(Received Item) {
    // Any message proves that the connection works.
    Unanswered = 0;
    if (Item.DecodeError)
      return report(*Item.DecodeError);
    if (std::holds_alternative<wire::HeartbeatReply>(Item.Message.Content))
      return;

    Hooks.OnMessage(std::move(Item.Message));
  }

  void report(const std::string &Detail) {
    if (Hooks.OnProtocolError)
      Hooks.OnProtocolError(Detail);
  }

  boost::asio::io_context &Io;
  Options Config;
  Callbacks Hooks;
  boost::asio::steady_timer Timer;
  std::shared_ptr<Inbox<Received>> Box;
  std::unique_ptr<Connection> Current;
  wire::Envelope LastIdentity;
  std::uint64_t HeartbeatSequence = 0;
  Duration Waited{};
  int Unanswered = 0;
  bool Up = false;
  bool Reopening = false;
  bool Stopped = false;
};

Link::Link(boost::asio::io_context &Io, Options Config, Callbacks Hooks)
    : State(std::make_shared<Impl>(Io, std::move(Config), std::move(Hooks))) {
  State->start();
}

Link::~Link() { State->stop(); }

Link::SendResult Link::send(const wire::Envelope &What) {
  return State->send(What);
}

bool Link::up() const { return State->up(); }

const http::Endpoint &Link::peer() const { return State->peer(); }

} // namespace daisyspool
