// The network link of one machine: a proxy to the store that passes on the
// store's answers at the rate of the link.
#ifndef DAISYSPOOL_REVIEW_LINK_H
#define DAISYSPOOL_REVIEW_LINK_H

#include "Harness.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace daisyspool::review {

/// Thread safety: the I/O thread only.
class Link {
public:
  /// \p MegabitsPerSecond 0 is no limit.
  Link(Harness &Host, const http::Endpoint &Target, double MegabitsPerSecond)
      : Host(Host), Target(toTcp(Target)),
        BytesPerMs(MegabitsPerSecond * 1e6 / 8 / 1000),
        Acceptor(Host.Io, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
  }

  http::Endpoint endpoint() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }

private:
  using Tcp = boost::asio::ip::tcp;
  using ErrorCode = boost::system::error_code;

  /// One direction of a connection.
  struct Pipe {
    std::shared_ptr<Tcp::socket> From;
    std::shared_ptr<Tcp::socket> To;
    bool Limited = false;
    std::array<char, 8192> Buffer{};
  };
  using PipePtr = std::shared_ptr<Pipe>;

  static Tcp::endpoint toTcp(const http::Endpoint &Address) {
    return {boost::asio::ip::make_address(Address.Address), Address.Port};
  }

  void accept() {
    Acceptor.async_accept([this](ErrorCode Failure, Tcp::socket Accepted) {
      if (Failure)
        return;
      auto Caller = std::make_shared<Tcp::socket>(std::move(Accepted));
      auto Server = std::make_shared<Tcp::socket>(Host.Io);
      Server->async_connect(Target, [this, Caller, Server](ErrorCode Refused) {
        if (Refused)
          return;
        pass(std::make_shared<Pipe>(Pipe{Caller, Server, false}));
        pass(std::make_shared<Pipe>(Pipe{Server, Caller, BytesPerMs > 0}));
      });
      accept();
    });
  }

  static void close(const PipePtr &Each) {
    ErrorCode Ignored;
    Each->From->close(Ignored);
    Each->To->close(Ignored);
  }

  void pass(const PipePtr &Each) {
    Each->From->async_read_some(
        boost::asio::buffer(Each->Buffer),
        [this, Each](ErrorCode Failure, std::size_t Bytes) {
          if (Failure)
            return close(Each);
          if (!Each->Limited)
            return deliver(Each, Bytes);
          // The link transmits one chunk after the other, whatever connections
          // they belong to.
          auto Duration = std::chrono::duration_cast<Clock::duration>(
              std::chrono::duration<double, std::milli>(
                  static_cast<double>(Bytes) / BytesPerMs));
          FreeAt = std::max(FreeAt, Clock::now()) + Duration;
          auto Timer =
              std::make_shared<boost::asio::steady_timer>(Host.Io, FreeAt);
          Timer->async_wait([this, Timer, Each, Bytes](ErrorCode Cancelled) {
            if (!Cancelled)
              deliver(Each, Bytes);
          });
        });
  }

  void deliver(const PipePtr &Each, std::size_t Bytes) {
    boost::asio::async_write(*Each->To,
                             boost::asio::buffer(Each->Buffer.data(), Bytes),
                             [this, Each](ErrorCode Failure, std::size_t) {
                               if (Failure)
                                 return close(Each);
                               pass(Each);
                             });
  }

  Harness &Host;
  Tcp::endpoint Target;
  double BytesPerMs;
  Clock::time_point FreeAt{};
  Tcp::acceptor Acceptor;
};

} // namespace daisyspool::review

#endif // DAISYSPOOL_REVIEW_LINK_H
