#include "daisyspool/membership/UdpDriver.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>

#include <algorithm>

namespace daisyspool {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

/// The timer's clock stops while the VM is suspended. A short maximum wait
/// bounds the delay after it resumes.
constexpr Millis MaxTimerWait{1000};

udp::endpoint endpointOf(const MemberAddress &Address,
                         boost::system::error_code &Failure) {
  return {asio::ip::make_address(Address.Host, Failure), Address.Port};
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

void UdpDriver::start(SwimProtocol &NewProtocol, ErrorHandler NewOnError,
                      ReceivedHandler NewOnReceived) {
  Protocol = &NewProtocol;
  OnError = std::move(NewOnError);
  OnReceived = std::move(NewOnReceived);
  receiveNext();
  armTimer();
}

void UdpDriver::stop() {
  boost::system::error_code Ignored;
  Protocol = nullptr;
  Timer.cancel(Ignored);
  Socket.close(Ignored);
}

void UdpDriver::send(const std::vector<Outgoing> &Datagrams) {
  for (const Outgoing &Next : Datagrams) {
    boost::system::error_code Failure;
    const udp::endpoint To = endpointOf(Next.To, Failure);
    if (!Failure)
      Socket.send_to(asio::buffer(Next.Bytes), To, 0, Failure);
    // The protocol tolerates loss, so a failed send is only counted.
    if (Failure)
      ++SendFailures;
  }
}

void UdpDriver::receiveNext() {
  Socket.async_receive_from(
      asio::buffer(Buffer), Sender,
      [this, Guard = std::weak_ptr<bool>(Lifetime)](
          const boost::system::error_code &Failure, std::size_t Size) {
        if (Guard.expired() || !Protocol)
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
    send(Protocol->receive(From, {Buffer.data(), Size}, Now));
    if (OnReceived)
      OnReceived();
  } catch (const UnsupportedVersion &Problem) {
    if (!Problem.isRefusal())
      send(Protocol->refuse(From, Now));
    if (OnError)
      OnError(From, Problem);
  } catch (const ProtocolError &Problem) {
    if (OnError)
      OnError(From, Problem);
  }
  armTimer();
}

void UdpDriver::armTimer() {
  if (!Protocol)
    return;
  const Duration Wait = std::clamp<Duration>(Protocol->nextWake() - Time.now(),
                                             Duration::zero(), MaxTimerWait);
  Timer.expires_after(Wait);
  Timer.async_wait([this, Guard = std::weak_ptr<bool>(Lifetime)](
                       const boost::system::error_code &Failure) {
    if (Failure || Guard.expired() || !Protocol)
      return;
    if (Time.now() >= Protocol->nextWake())
      send(Protocol->tick(Time.now()));
    armTimer();
  });
}

} // namespace daisyspool
