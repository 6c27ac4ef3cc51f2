#ifndef DAISYSPOOL_STANDINS_TCPPIPE_H
#define DAISYSPOOL_STANDINS_TCPPIPE_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/http/Types.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace daisyspool {

inline boost::asio::ip::tcp::endpoint toTcp(const http::Endpoint &Where) {
  return {boost::asio::ip::make_address(Where.Address), Where.Port};
}

template <typename AnyEndpoint>
http::Endpoint toEndpoint(const AnyEndpoint &From) {
  return {From.address().to_string(), From.port()};
}

/// Copies bytes between two connected sockets, in both directions, until both
/// directions have ended or one fails.
///
/// A delay can be set for each piece of data. After goSilent() all bytes and
/// closings are swallowed, and nothing is sent to either end. Thread safety:
/// the I/O thread only.
class TcpPipe : public std::enable_shared_from_this<TcpPipe> {
public:
  using Socket = boost::asio::ip::tcp::socket;
  /// Returns the delay of the next piece of data.
  using DelayFunction = std::function<Duration()>;

  static std::shared_ptr<TcpPipe> start(Socket First, Socket Second,
                                        DelayFunction Delay = {}) {
    auto Created = std::shared_ptr<TcpPipe>(
        new TcpPipe(std::move(First), std::move(Second), std::move(Delay)));
    Created->Forward.read();
    Created->Backward.read();
    return Created;
  }

  void goSilent() { Silent = true; }

  /// What the server sends is swallowed from now on; requests still arrive.
  void dropAnswers() { Backward.swallow(); }

  /// Closes both ends, unless the pipe is silent: then neither end is told
  /// about the failure of the other.
  void close() {
    if (Silent)
      return;

    boost::system::error_code Ignored;
    Forward.cancel();
    Backward.cancel();
    First.close(Ignored);
    Second.close(Ignored);
  }

private:
  static constexpr std::size_t PieceBytes = 64 * 1024;
  /// Data under way in one direction, as in a socket buffer.
  static constexpr std::size_t MaxQueuedBytes = 4 * 1024 * 1024;

  struct Piece {
    std::chrono::steady_clock::time_point Due;
    /// Empty for the end of the stream.
    std::string Bytes;
  };

  /// One direction.
  class Lane {
  public:
    Lane(TcpPipe &Owner, Socket &From, Socket &To)
        : Owner(Owner), From(From), To(To), Timer(From.get_executor()) {}

    void read() {
      if (Reading || Ended || Queued >= MaxQueuedBytes)
        return;

      Reading = true;
      From.async_read_some(
          boost::asio::buffer(Buffer),
          [this, Self = Owner.shared_from_this()](
              boost::system::error_code Failure, std::size_t Length) {
            Reading = false;
            if (Failure && Failure != boost::asio::error::eof)
              return Owner.close();
            Ended = Failure == boost::asio::error::eof;
            if (!Owner.Silent && !Swallows)
              enqueue(std::string(Buffer.data(), Ended ? 0 : Length));
            read();
          });
    }

    bool finished() const { return Finished; }
    void cancel() { Timer.cancel(); }
    void swallow() { Swallows = true; }

  private:
    void enqueue(std::string Bytes) {
      auto Due = std::chrono::steady_clock::now();
      if (Owner.Delay)
        Due += Owner.Delay();
      // TCP keeps the order: a piece waits for the one before it.
      if (!Pieces.empty())
        Due = std::max(Due, Pieces.back().Due);
      Queued += Bytes.size();
      Pieces.push_back({Due, std::move(Bytes)});
      if (Pieces.size() == 1)
        sendFirst();
    }

    void sendFirst() {
      if (Pieces.empty())
        return;
      if (!Owner.Delay)
        return write();

      Timer.expires_at(Pieces.front().Due);
      Timer.async_wait([this, Self = Owner.shared_from_this()](
                           boost::system::error_code Failure) {
        if (!Failure)
          write();
      });
    }

    void write() {
      if (Owner.Silent) {
        Queued = 0;
        Pieces.clear();
        return read();
      }
      if (Pieces.front().Bytes.empty()) {
        boost::system::error_code Ignored;
        To.shutdown(Socket::shutdown_send, Ignored);
        Finished = true;
        return Owner.closeIfFinished();
      }

      boost::asio::async_write(
          To, boost::asio::buffer(Pieces.front().Bytes),
          [this, Self = Owner.shared_from_this()](
              boost::system::error_code Failure, std::size_t) {
            if (Failure)
              return Owner.close();
            Queued -= Pieces.front().Bytes.size();
            Pieces.pop_front();
            sendFirst();
            read();
          });
    }

    TcpPipe &Owner;
    Socket &From;
    Socket &To;
    boost::asio::steady_timer Timer;
    std::array<char, PieceBytes> Buffer{};
    std::deque<Piece> Pieces;
    std::size_t Queued = 0;
    bool Swallows = false;
    bool Reading = false;
    bool Ended = false;
    bool Finished = false;
  };

  TcpPipe(Socket Caller, Socket Server, DelayFunction Delay)
      : First(std::move(Caller)), Second(std::move(Server)),
        Delay(std::move(Delay)), Forward(*this, First, Second),
        Backward(*this, Second, First) {
    boost::system::error_code Ignored;
    First.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
    Second.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
  }

  void closeIfFinished() {
    if (Forward.finished() && Backward.finished())
      close();
  }

  Socket First;
  Socket Second;
  DelayFunction Delay;
  Lane Forward;
  Lane Backward;
  bool Silent = false;
};

} // namespace daisyspool

#endif // DAISYSPOOL_STANDINS_TCPPIPE_H
