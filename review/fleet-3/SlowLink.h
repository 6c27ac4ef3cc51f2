// Relays TCP connections over the link of a machine, whose bandwidth all of
// them share.
#ifndef DAISYSPOOL_REVIEW_FLEET3_SLOWLINK_H
#define DAISYSPOOL_REVIEW_FLEET3_SLOWLINK_H

#include "daisyspool/http/Types.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <memory>

namespace daisyspool::review {

/// The link of one machine: its connections share the bandwidth, which is the
/// same in both directions.
struct Bandwidth {
  double BytesPerSecond = 0;
  /// When all earlier bytes to and from the machine have been sent.
  std::chrono::steady_clock::time_point ToMachineFreeAt{};
  std::chrono::steady_clock::time_point FromMachineFreeAt{};
};

/// Relays the connections of a machine to one address. Operations in progress
/// keep a link alive until its I/O loop ends. Thread
/// safety: the I/O thread only.
class SlowLink : public std::enable_shared_from_this<SlowLink> {
public:
  SlowLink(boost::asio::io_context &Io, const http::Endpoint &To,
           std::shared_ptr<Bandwidth> Machine)
      : Io(Io), Target(boost::asio::ip::make_address(To.Address), To.Port),
        Machine(std::move(Machine)), Acceptor(Io) {
    // Small windows, so that a slow link slows its senders down. Accepted
    // connections inherit the size, which must be set before they begin.
    Acceptor.open(Tcp::v4());
    Acceptor.set_option(
        boost::asio::socket_base::receive_buffer_size(WindowBytes));
    Acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
    Acceptor.listen();
  }

  void start() {
    Acceptor.async_accept(
        [Self = shared_from_this()](boost::system::error_code Failure,
                                    Tcp::socket From) {
          if (Failure)
            return;
          auto Opened = std::make_shared<Relay>(Self, std::move(From));
          Opened->ToServer.async_connect(
              Self->Target, [Opened](boost::system::error_code ConnectFailure) {
                if (ConnectFailure)
                  return;
                Opened->pass(Opened->FromClient, Opened->ToServer, Opened->Up,
                             Opened->Link->Machine->FromMachineFreeAt);
                Opened->pass(Opened->ToServer, Opened->FromClient, Opened->Down,
                             Opened->Link->Machine->ToMachineFreeAt);
              });
          Self->start();
        });
  }

  http::Endpoint endpoint() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }

private:
  using Tcp = boost::asio::ip::tcp;
  using Time = std::chrono::steady_clock::time_point;

  static constexpr std::size_t PieceBytes = 4096;
  static constexpr int WindowBytes = 16 * 1024;

  struct Direction {
    explicit Direction(boost::asio::io_context &Io) : Delay(Io) {}
    std::array<char, PieceBytes> Piece{};
    boost::asio::steady_timer Delay;
  };

  /// One connection in both directions.
  struct Relay : std::enable_shared_from_this<Relay> {
    Relay(std::shared_ptr<SlowLink> Owner, Tcp::socket From)
        : Link(std::move(Owner)), FromClient(std::move(From)),
          ToServer(Link->Io), Up(Link->Io), Down(Link->Io) {
      boost::system::error_code Ignored;
      FromClient.set_option(Tcp::no_delay(true), Ignored);
      ToServer.open(Tcp::v4(), Ignored);
      ToServer.set_option(Tcp::no_delay(true), Ignored);
      ToServer.set_option(
          boost::asio::socket_base::receive_buffer_size(WindowBytes), Ignored);
    }

    void close() {
      boost::system::error_code Ignored;
      FromClient.close(Ignored);
      ToServer.close(Ignored);
    }

    /// Passes pieces on as the link has room for them. \p FreeAt is when the
    /// link has sent all earlier pieces of this direction.
    void pass(Tcp::socket &From, Tcp::socket &To, Direction &Way,
              Time &FreeAt) {
      From.async_read_some(
          boost::asio::buffer(Way.Piece),
          [Self = shared_from_this(), &From, &To, &Way,
           &FreeAt](boost::system::error_code Failure, std::size_t Count) {
            if (Failure)
              return Self->close();
            std::chrono::duration<double> Span(
                static_cast<double>(Count) /
                Self->Link->Machine->BytesPerSecond);
            FreeAt = std::max(FreeAt, std::chrono::steady_clock::now()) +
                     std::chrono::duration_cast<std::chrono::nanoseconds>(Span);
            Way.Delay.expires_at(FreeAt);
            Way.Delay.async_wait([Self, &From, &To, &Way, &FreeAt,
                                  Count](boost::system::error_code) {
              boost::asio::async_write(
                  To, boost::asio::buffer(Way.Piece.data(), Count),
                  [Self, &From, &To, &Way, &FreeAt](
                      boost::system::error_code WriteFailure, std::size_t) {
                    if (WriteFailure)
                      return Self->close();
                    Self->pass(From, To, Way, FreeAt);
                  });
            });
          });
    }

    std::shared_ptr<SlowLink> Link;
    Tcp::socket FromClient;
    Tcp::socket ToServer;
    Direction Up;
    Direction Down;
  };

  boost::asio::io_context &Io;
  Tcp::endpoint Target;
  std::shared_ptr<Bandwidth> Machine;
  Tcp::acceptor Acceptor;
};

} // namespace daisyspool::review

#endif // DAISYSPOOL_REVIEW_FLEET3_SLOWLINK_H
