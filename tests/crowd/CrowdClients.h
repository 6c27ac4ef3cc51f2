// Clients that ignore the limits of a server: each sends fixed bytes, never
// reads, and stays open.
#ifndef DAISYSPOOL_TESTS_CROWD_CROWDCLIENTS_H
#define DAISYSPOOL_TESTS_CROWD_CROWDCLIENTS_H

#include "daisyspool/http/Types.h"

#include <arpa/inet.h>
#include <chrono>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace daisyspool::crowd {

class CrowdClients {
public:
  /// Connects \p Count clients, each of which sends \p Bytes in pieces of up to
  /// \p Piece, in turn with the others.
  CrowdClients(const http::Endpoint &Server, std::size_t Count,
               std::string Bytes, std::size_t Piece)
      : Bytes(std::move(Bytes)), Piece(Piece) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Server.Port);
    ::inet_pton(AF_INET, Server.Address.c_str(), &Address.sin_addr);
    for (std::size_t I = 0; I < Count; ++I) {
      int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
      auto *Target = reinterpret_cast<sockaddr *>(&Address);
      bool Connected = ::connect(Socket, Target, sizeof(Address)) == 0;
      Clients.push_back({Socket, 0, !Connected});
    }
  }
  CrowdClients(const CrowdClients &) = delete;
  CrowdClients &operator=(const CrowdClients &) = delete;
  ~CrowdClients() {
    for (const Client &Each : Clients)
      ::close(Each.Socket);
  }

  /// Sends until each client has sent everything, was closed, or the server has
  /// taken nothing from any client for a second.
  void send() {
    constexpr int MaxIdleRounds = 100;
    int IdleRounds = 0;
    while (IdleRounds < MaxIdleRounds) {
      bool Open = false;
      bool Progress = false;
      for (Client &Each : Clients) {
        Progress = sendPiece(Each) || Progress;
        Open = Open || (!Each.Closed && Each.Sent < Bytes.size());
      }
      if (!Open)
        return;
      IdleRounds = Progress ? 0 : IdleRounds + 1;
      if (!Progress)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }

private:
  struct Client {
    int Socket = -1;
    std::size_t Sent = 0;
    bool Closed = false;
  };

  bool sendPiece(Client &Sender) const {
    std::size_t Left = Bytes.size() - Sender.Sent;
    if (Sender.Closed || Left == 0)
      return false;
    ssize_t Sent = ::send(Sender.Socket, Bytes.data() + Sender.Sent,
                          std::min(Left, Piece), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (Sent > 0)
      Sender.Sent += static_cast<std::size_t>(Sent);
    else if (errno != EAGAIN && errno != EWOULDBLOCK)
      Sender.Closed = true;
    return Sent > 0;
  }

  std::string Bytes;
  std::size_t Piece;
  std::vector<Client> Clients;
};

/// The head of a POST to \p Target with \p Framing, a header line.
inline std::string postHead(const std::string &Target,
                            const std::string &Framing) {
  return "POST " + Target + " HTTP/1.1\r\nHost: 127.0.0.1\r\n" + Framing +
         "\r\n\r\n";
}

/// A request whose body stops one byte before its declared end.
inline std::string bodyOneByteShort(const std::string &Target,
                                    std::size_t Bytes) {
  return postHead(Target, "Content-Length: " + std::to_string(Bytes)) +
         std::string(Bytes - 1, 'x');
}

/// A request with \p Bytes of body in chunks of \p ChunkBytes, without the last
/// chunk that ends it. Precondition: \p ChunkBytes is below 2^32.
inline std::string chunksWithoutEnd(const std::string &Target,
                                    std::size_t Bytes, std::size_t ChunkBytes) {
  char Size[16];
  std::snprintf(Size, sizeof(Size), "%zx\r\n", ChunkBytes);
  std::string Chunk = Size + std::string(ChunkBytes, 'x') + "\r\n";
  std::string Result = postHead(Target, "Transfer-Encoding: chunked");
  for (std::size_t Sent = 0; Sent < Bytes; Sent += ChunkBytes)
    Result += Chunk;
  return Result;
}

/// A request whose chunked body has ended, followed by trailers without end.
inline std::string endlessTrailers(const std::string &Target,
                                   std::size_t Bytes) {
  std::string Result =
      postHead(Target, "Transfer-Encoding: chunked") + "2\r\n{}\r\n0\r\n";
  while (Result.size() < Bytes)
    Result += "X-Trailer: " + std::string(100, 'x') + "\r\n";
  return Result;
}

} // namespace daisyspool::crowd

#endif // DAISYSPOOL_TESTS_CROWD_CROWDCLIENTS_H
