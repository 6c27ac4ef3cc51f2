#ifndef DAISYSPOOL_TESTS_SUPPORT_STANDINTHREAD_H
#define DAISYSPOOL_TESTS_SUPPORT_STANDINTHREAD_H

#include "daisyspool/http/Client.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

namespace daisyspool {

/// Time limit for calls that are expected to succeed; only a hung test reaches
/// it.
inline constexpr Millis AmpleTime{10000};

/// Runs a stand-in on a thread of its own until the end of the test.
template <typename Standin> class StandinThread {
public:
  template <typename... Arguments>
  explicit StandinThread(Arguments &&...Options)
      : Instance(
            std::make_unique<Standin>(Io, std::forward<Arguments>(Options)...)),
        Runner([this] { Io.run(); }) {}
  StandinThread(const StandinThread &) = delete;
  StandinThread &operator=(const StandinThread &) = delete;
  ~StandinThread() {
    Io.stop();
    Runner.join();
  }

  /// Only for methods that are safe while the stand-in runs.
  const Standin &operator*() const { return *Instance; }
  const Standin *operator->() const { return Instance.get(); }

private:
  boost::asio::io_context Io{1};
  std::unique_ptr<Standin> Instance;
  std::thread Runner;
};

/// Makes a control call to a stand-in and returns its answer. A null \p Change
/// is sent as an empty object. Throws std::runtime_error if the stand-in
/// refuses the call.
inline nlohmann::json control(const http::Endpoint &Server,
                              const std::string &Path,
                              const nlohmann::json &Change) {
  std::string Body = Change.is_null() ? "{}" : Change.dump();
  http::Response Answer =
      http::exchangeBlocking(Server, {"POST", Path, {}, Body}, AmpleTime);
  if (Answer.Status != 200)
    throw std::runtime_error(Answer.Body);

  return nlohmann::json::parse(Answer.Body);
}

inline nlohmann::json switchFaults(const http::Endpoint &Server,
                                   const nlohmann::json &Change) {
  return control(Server, "/standin/faults", Change);
}

} // namespace daisyspool

#endif // DAISYSPOOL_TESTS_SUPPORT_STANDINTHREAD_H
