#ifndef DAISYSPOOL_MEMBERSHIP_UDPDRIVER_H
#define DAISYSPOOL_MEMBERSHIP_UDPDRIVER_H

#include "daisyspool/membership/SwimProtocol.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <vector>

namespace daisyspool {

/// Runs a SwimProtocol on one UDP socket and one timer.
///
/// Datagrams that cannot be decoded are counted and reported to the error
/// handler, and failed sends are counted; neither stops the driver. See
/// SwimProtocol for the protocol itself.
///
/// Thread safety: all methods from the thread that runs the io_context.
class UdpDriver {
public:
  using ErrorHandler =
      std::function<void(const MemberAddress &From, const Error &Problem)>;
  using ReceivedHandler = std::function<void()>;

  /// Opens and binds the socket. Throws boost::system::system_error if the
  /// address is in use. The references must outlive the driver.
  UdpDriver(boost::asio::io_context &Io, const Clock &Time,
            const MemberAddress &Listen);
  UdpDriver(const UdpDriver &) = delete;
  UdpDriver &operator=(const UdpDriver &) = delete;
  ~UdpDriver();

  /// The bound address, with the actual port if port 0 was requested.
  MemberAddress address() const;

  /// Starts receiving and ticking. \p Protocol must stay valid until stop() or
  /// the driver's destruction. \p OnReceived runs after each valid datagram.
  void start(SwimProtocol &Protocol, ErrorHandler OnError = {},
             ReceivedHandler OnReceived = {});

  /// Sends datagrams that the protocol returned to a caller of its methods.
  void send(const std::vector<Outgoing> &Datagrams);

  /// Closes the socket and cancels the timer.
  void stop();

  /// Datagrams that could not be sent.
  std::uint64_t sendFailures() const { return SendFailures; }

private:
  void receiveNext();
  void handle(std::size_t Size);
  void armTimer();

  const Clock &Time;
  boost::asio::ip::udp::socket Socket;
  boost::asio::steady_timer Timer;
  SwimProtocol *Protocol = nullptr;
  ErrorHandler OnError;
  ReceivedHandler OnReceived;
  boost::asio::ip::udp::endpoint Sender;
  std::array<char, 2048> Buffer{};
  std::uint64_t SendFailures = 0;
  /// Handlers hold a weak reference, so that one that runs after the driver's
  /// destruction does not access it.
  std::shared_ptr<bool> Lifetime = std::make_shared<bool>(true);
};

} // namespace daisyspool

#endif // DAISYSPOOL_MEMBERSHIP_UDPDRIVER_H
