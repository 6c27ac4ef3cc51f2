#include "daisyspool/membership/UdpDriver.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>

#include <algorithm>

namespace daisyspool {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

/// The timer's clock stops while the VM is suspended; short sleeps bound the
/// delay after it resumes.
constexpr Millis LongestSleep{1000};

udp::endpoint endpointOf(const MemberAddress &Where,
                         boost::system::error_code &Failure) {
  return {asio::ip::make_address(Where.Host, Failure), Where.Port};
}

} // namespace

UdpDriver::UdpDriver(asio::io_context &Io, const Clock &Time,
                     const MemberAddress &Listen)
    : Time(Time), Socket(Io, udp::endpoint(asio::ip::make_address(Listen.Host),
                                           Listen.Port)),
      Timer(Io) {
  Socket.non_blocking(true);
}

UdpDriver::~UdpDriver() { stop(); }

MemberAddress UdpDriver::address() const {
  const udp::endpoint Local = Socket.local_endpoint();
  return {Local.address().to_string(), Local.port()};
}

void UdpDriver::start(SwimProtocol &NewMachine, ErrorHandler NewOnError,
                      ReceivedHandler NewOnReceived) {
  Machine = &NewMachine;
  OnError = std::move(NewOnError);
  OnReceived = std::move(NewOnReceived);
  receiveNext();
  armTimer();
}

void UdpDriver::stop() {
  boost::system::error_code Ignored;
  Machine = nullptr;
  Timer.cancel(Ignored);
  Socket.close(Ignored);
}

void UdpDriver::send(const std::vector<Outgoing> &Datagrams) {
  for (const Outgoing &Next : Datagrams) {
    boost::system::error_code Failure;
    const udp::endpoint To = endpointOf(Next.To, Failure);
    if (!Failure)
      Socket.send_to(asio::buffer(Next.Bytes), To, 0, Failure);
    // A lost datagram is an ordinary event of the protocol.
    if (Failure)
      ++SendFailures;
  }
}

void UdpDriver::receiveNext() {
  Socket.async_receive_from(
      asio::buffer(Buffer), Sender,
      [this, Guard = std::weak_ptr<bool>(Alive)](
          const boost::system::error_code &Failure, std::size_t Size) {
        if (Guard.expired() || !Machine)
          return;
        if (!Failure)
          handle(Size);
        receiveNext();
      });
}

void UdpDriver::handle(std::size_t Size) {
  const MemberAddress From{Sender.address().to_string(), Sender.port()};
  const TimePoint Now = Time.now();
  try {
    send(Machine->receive(From, {Buffer.data(), Size}, Now));
    if (OnReceived)
      OnReceived();
  } catch (const UnsupportedVersion &Problem) {
    if (!Problem.isRefusal())
      send(Machine->refuse(From, Now));
    if (OnError)
      OnError(From, Problem);
  } catch (const ProtocolError &Problem) {
    if (OnError)
      OnError(From, Problem);
  }
  armTimer();
}

void UdpDriver::armTimer() {
  if (!Machine)
    return;
  const Duration Wait = std::clamp<Duration>(Machine->nextWake() - Time.now(),
                                             Duration::zero(), LongestSleep);
  Timer.expires_after(Wait);
  Timer.async_wait([this, Guard = std::weak_ptr<bool>(Alive)](
                       const boost::system::error_code &Failure) {
    if (Failure || Guard.expired() || !Machine)
      return;
    if (Time.now() >= Machine->nextWake())
      send(Machine->tick(Time.now()));
    armTimer();
  });
}

} // namespace daisyspool
