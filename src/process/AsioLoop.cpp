#include "daisyspool/process/AsioLoop.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace daisyspool {

namespace {

class AsioTimer final : public Timer {
public:
  explicit AsioTimer(boost::asio::io_context &Io) : Waiting(Io) {}

  void start(Millis After, std::function<void()> What) override {
    Waiting.expires_after(After);
    Waiting.async_wait(
        [What = std::move(What)](boost::system::error_code Failure) {
          if (!Failure)
            What();
        });
  }

  void cancel() override { Waiting.cancel(); }

private:
  boost::asio::steady_timer Waiting;
};

} // namespace

std::unique_ptr<Timer> AsioLoop::timer() {
  return std::make_unique<AsioTimer>(Io);
}

void AsioLoop::post(std::function<void()> What) {
  boost::asio::post(Io, std::move(What));
}

} // namespace daisyspool
