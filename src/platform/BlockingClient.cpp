#include "daisyspool/platform/BlockingClient.h"

#include <utility>

namespace daisyspool {

BlockingClient::BlockingClient(http::Endpoint Server)
    : Host(http::toString(Server)), Connections(Io, {std::move(Server)}) {}

http::Response BlockingClient::exchange(http::Request What, Millis Timeout) {
  bool Finished = false;
  http::Response Answer;
  std::exception_ptr Problem;
  Connections.send(std::move(What), Timeout,
                   [&](http::Response Received, std::exception_ptr Failure) {
                     Answer = std::move(Received);
                     Problem = std::move(Failure);
                     Finished = true;
                   });

  while (!Finished) {
    Io.restart();
    Io.run_one();
  }
  if (Problem)
    std::rethrow_exception(Problem);
  return Answer;
}

} // namespace daisyspool
