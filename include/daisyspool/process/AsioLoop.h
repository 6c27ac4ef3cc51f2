#ifndef DAISYSPOOL_PROCESS_ASIOLOOP_H
#define DAISYSPOOL_PROCESS_ASIOLOOP_H

#include "daisyspool/core/EventLoop.h"

#include <boost/asio/io_context.hpp>

namespace daisyspool {

/// An EventLoop whose callbacks run on the thread that runs \p Io.
class AsioLoop final : public EventLoop {
public:
  explicit AsioLoop(boost::asio::io_context &Io) : Io(Io) {}

  std::unique_ptr<Timer> timer() override;
  void post(std::function<void()> Callback) override;

private:
  boost::asio::io_context &Io;
};

} // namespace daisyspool

#endif // DAISYSPOOL_PROCESS_ASIOLOOP_H
