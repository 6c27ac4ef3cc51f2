#include "daisyspool/platform/BlockingClient.h"

#include <utility>

namespace daisyspool {

BlockingClient::BlockingClient(http::Endpoint Server)
    : Host(http::toString(Server)), Connections(Io, {std::move(Server)}) {}

http::Response BlockingClient::exchange(http::Request Outgoing,
                                        Millis Timeout) {
  bool Finished = false;
  http::Response Answer;
  std::exception_ptr Exception;
  Connections.send(std::move(Outgoing), Timeout,
                   [&](http::Response Received, std::exception_ptr Failure) {
                     Answer = std::move(Received);
                     Exception = std::move(Failure);
                     Finished = true;
                   });

  while (!Finished) {
    Io.restart();
    Io.run_one();
  }
  if (Exception)
    std::rethrow_exception(Exception);
  return Answer;
}

} // namespace daisyspool
