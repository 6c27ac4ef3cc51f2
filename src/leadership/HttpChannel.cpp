#include "daisyspool/leadership/HttpChannel.h"

namespace daisyspool::leadership {

namespace {

constexpr std::size_t MaxConnections = 4;

SyncOutcome toOutcome(const http::Response &Answer,
                      const std::exception_ptr &Failure) {
  try {
    if (Failure)
      std::rethrow_exception(Failure);
    if (Answer.Status != 200)
      return SyncFailed{"status " + std::to_string(Answer.Status)};
    return runner::decodeSyncReply(Answer.Body);
  } catch (const Error &Problem) {
    return SyncFailed{Problem.what()};
  }
}

} // namespace

HttpChannel::HttpChannel(boost::asio::io_context &Io,
                         const http::Endpoint &Agent)
    : Client(Io, {Agent, MaxConnections}) {}

void HttpChannel::exchange(const runner::SyncRequest &Request, Millis Timeout,
                           std::function<void(SyncOutcome)> Done) {
  http::Request HttpRequest{"POST",
                            SyncPath,
                            {{"Content-Type", SyncContentType}},
                            runner::encode(Request)};
  Client.send(std::move(HttpRequest), Timeout,
              [Done = std::move(Done)](const http::Response &Answer,
                                       const std::exception_ptr &Failure) {
                Done(toOutcome(Answer, Failure));
              });
}

} // namespace daisyspool::leadership
