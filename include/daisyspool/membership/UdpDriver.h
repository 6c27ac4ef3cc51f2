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
/// Bad datagrams and socket errors are counted and reported to the error
/// handler; they never stop the driver. See SwimProtocol for the decisions.
///
/// Thread safety: all methods from the thread that runs the io_context.
class UdpDriver {
public:
  using ErrorHandler =
      std::function<void(const MemberAddress &From, const Error &Problem)>;
  using ReceivedHandler = std::function<void()>;

  /// Opens and binds the socket. Throws boost::system::system_error if the
  /// address is in use. The references outlive the driver.
  UdpDriver(boost::asio::io_context &Io, const Clock &Time,
            const MemberAddress &Listen);
  UdpDriver(const UdpDriver &) = delete;
  UdpDriver &operator=(const UdpDriver &) = delete;
  ~UdpDriver();

  /// The bound address, with the real port when port 0 was asked for.
  MemberAddress address() const;

  /// Starts receiving and ticking. \p Machine outlives the driver or stop().
  void start(SwimProtocol &Machine, ErrorHandler OnError = {},
             ReceivedHandler OnReceived = {});

  /// Sends datagrams that the machine returned to its other callers.
  void send(const std::vector<Outgoing> &Datagrams);

  /// Closes the socket and cancels the timer.
  void stop();

  /// Datagrams that the kernel did not take.
  std::uint64_t sendFailures() const { return SendFailures; }

private:
  void receiveNext();
  void handle(std::size_t Size);
  void armTimer();

  const Clock &Time;
  boost::asio::ip::udp::socket Socket;
  boost::asio::steady_timer Timer;
  SwimProtocol *Machine = nullptr;
  ErrorHandler OnError;
  ReceivedHandler OnReceived;
  boost::asio::ip::udp::endpoint Sender;
  std::array<char, 2048> Buffer{};
  std::uint64_t SendFailures = 0;
  /// Expires with the driver, so that a queued handler does not touch it.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace daisyspool

#endif // DAISYSPOOL_MEMBERSHIP_UDPDRIVER_H
