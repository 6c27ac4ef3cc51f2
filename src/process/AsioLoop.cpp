#include "daisyspool/process/AsioLoop.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace daisyspool {

namespace {

class AsioTimer final : public Timer {
public:
  explicit AsioTimer(boost::asio::io_context &Io) : SteadyTimer(Io) {}

  void start(Millis After, std::function<void()> Callback) override {
    SteadyTimer.expires_after(After);
    SteadyTimer.async_wait(
        [Callback = std::move(Callback)](boost::system::error_code Failure) {
          if (!Failure)
            Callback();
        });
  }

  void cancel() override { SteadyTimer.cancel(); }

private:
  boost::asio::steady_timer SteadyTimer;
};

} // namespace

std::unique_ptr<Timer> AsioLoop::timer() {
  return std::make_unique<AsioTimer>(Io);
}

void AsioLoop::post(std::function<void()> Callback) {
  boost::asio::post(Io, std::move(Callback));
}

} // namespace daisyspool
