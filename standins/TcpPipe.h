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

inline boost::asio::ip::tcp::endpoint toTcp(const http::Endpoint &From) {
  return {boost::asio::ip::make_address(From.Address), From.Port};
}

template <typename AnyEndpoint>
http::Endpoint toEndpoint(const AnyEndpoint &From) {
  return {From.address().to_string(), From.port()};
}

/// Copies bytes between two connected sockets, in both directions, until both
/// directions have ended or one fails.
///
/// Each chunk of data can be delayed. After goSilent() all bytes and closes are
/// discarded, and nothing is sent to either end. Thread safety: the I/O thread
/// only.
class TcpPipe : public std::enable_shared_from_this<TcpPipe> {
public:
  using Socket = boost::asio::ip::tcp::socket;
  /// Returns the delay of the next chunk of data.
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

  /// Discards what the server sends from now on; requests still arrive.
  void dropAnswers() { Backward.discard(); }

  /// Closes both ends, unless the pipe is silent: then neither end learns of
  /// the failure of the other.
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
  static constexpr std::size_t ReadBufferBytes = 64 * 1024;
  /// Limit of the data queued in one direction, as in a socket buffer.
  static constexpr std::size_t MaxQueuedBytes = 4 * 1024 * 1024;

  struct Chunk {
    std::chrono::steady_clock::time_point Due;
    /// Empty for the end of the stream.
    std::string Bytes;
  };

  /// Copies the data of one direction.
  class Direction {
  public:
    Direction(TcpPipe &Owner, Socket &From, Socket &To)
        : Owner(Owner), From(From), To(To), Timer(From.get_executor()) {}

    void read() {
      if (Reading || Ended || QueuedBytes >= MaxQueuedBytes)
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
            if (!Owner.Silent && !Discarding)
              enqueue(std::string(Buffer.data(), Ended ? 0 : Length));
            read();
          });
    }

    bool finished() const { return Finished; }
    void cancel() { Timer.cancel(); }
    void discard() { Discarding = true; }

  private:
    void enqueue(std::string Bytes) {
      auto Due = std::chrono::steady_clock::now();
      if (Owner.Delay)
        Due += Owner.Delay();
      // TCP keeps the order: a chunk waits for the one before it.
      if (!Chunks.empty())
        Due = std::max(Due, Chunks.back().Due);
      QueuedBytes += Bytes.size();
      Chunks.push_back({Due, std::move(Bytes)});
      if (Chunks.size() == 1)
        sendFirst();
    }

    void sendFirst() {
      if (Chunks.empty())
        return;
      if (!Owner.Delay)
        return write();

      Timer.expires_at(Chunks.front().Due);
      Timer.async_wait([this, Self = Owner.shared_from_this()](
                           boost::system::error_code Failure) {
        if (!Failure)
          write();
      });
    }

    void write() {
      if (Owner.Silent) {
        QueuedBytes = 0;
        Chunks.clear();
        return read();
      }
      if (Chunks.front().Bytes.empty()) {
        boost::system::error_code Ignored;
        To.shutdown(Socket::shutdown_send, Ignored);
        Finished = true;
        return Owner.closeIfFinished();
      }

      boost::asio::async_write(
          To, boost::asio::buffer(Chunks.front().Bytes),
          [this, Self = Owner.shared_from_this()](
              boost::system::error_code Failure, std::size_t) {
            if (Failure)
              return Owner.close();
            QueuedBytes -= Chunks.front().Bytes.size();
            Chunks.pop_front();
            sendFirst();
            read();
          });
    }

    TcpPipe &Owner;
    Socket &From;
    Socket &To;
    boost::asio::steady_timer Timer;
    std::array<char, ReadBufferBytes> Buffer{};
    std::deque<Chunk> Chunks;
    std::size_t QueuedBytes = 0;
    bool Discarding = false;
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
  Direction Forward;
  Direction Backward;
  bool Silent = false;
};

} // namespace daisyspool

#endif // DAISYSPOOL_STANDINS_TCPPIPE_H
