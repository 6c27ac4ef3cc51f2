#ifndef DAISYSPOOL_STANDINS_STANDIN_H
#define DAISYSPOOL_STANDINS_STANDIN_H

#include "daisyspool/core/Errors.h"
#include "daisyspool/http/Server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace daisyspool {

/// Thrown for an invalid control call or option of a stand-in.
class StandinError : public Error {
  using Error::Error;
};

/// Parses "ADDRESS:PORT" where the port may be 0, which listens on a free one.
/// Throws StandinError.
inline http::Endpoint parseListen(const std::string &Text) {
  if (Text.ends_with(":0")) {
    // The address is checked with port 1 in place of 0.
    auto Parsed = http::parseEndpoint(Text.substr(0, Text.size() - 1) + "1");
    if (Parsed)
      return {Parsed->Address, 0};
  }
  auto Parsed = http::parseEndpoint(Text);
  if (!Parsed)
    throw StandinError("not ADDRESS:PORT: " + Text);

  return *Parsed;
}

inline http::Response jsonResponse(const nlohmann::json &Document,
                                   int Status = 200) {
  return {Status, {{"Content-Type", "application/json"}}, Document.dump()};
}

/// Server options for small requests: the default limits on \p Listen.
inline http::Server::Options controlOptions(const http::Endpoint &Listen) {
  http::Server::Options Result;
  Result.Listen = Listen;
  return Result;
}

/// Converts the fields of a fault struct to JSON. \p Faults has a template
/// method fields(Visit) that calls Visit(Name, Field) for each field.
template <typename Faults> nlohmann::json faultsToJson(Faults &Current) {
  nlohmann::json Document = nlohmann::json::object();
  Current.fields(
      [&](const char *Name, auto &Field) { Document[Name] = Field; });

  return Document;
}

/// Sets the fields named in \p Change; the others stay. Throws StandinError on
/// an unknown name and nlohmann::json::exception on a wrong type, changing
/// nothing.
template <typename Faults>
void mergeFaults(Faults &Current, const nlohmann::json &Change) {
  if (!Change.is_object())
    throw StandinError("not an object");
  Faults Changed = Current;
  std::size_t Known = 0;
  Changed.fields([&](const char *Name, auto &Field) {
    if (!Change.contains(Name))
      return;
    Change.at(Name).get_to(Field);
    ++Known;
  });
  if (Known != Change.size())
    throw StandinError("unknown fault name in " + Change.dump());

  Current = Changed;
}

/// Answers with what \p Handle returns, or with status 400 if it throws.
inline void answerControl(http::Exchange &Answer,
                          const std::function<nlohmann::json()> &Handle) {
  try {
    Answer.respond(jsonResponse(Handle()));
  } catch (const nlohmann::json::exception &Failure) {
    Answer.respond(
        http::toResponse({400, "bad-control-call", Failure.what(), {}}));
  } catch (const Error &Failure) {
    Answer.respond(
        http::toResponse({400, "bad-control-call", Failure.what(), {}}));
  }
}

/// Shows the faults on GET and changes them on POST. Returns false if the
/// request is not for /standin/faults.
template <typename Faults>
bool handleFaults(const http::Request &Received, http::Exchange &Answer,
                  Faults &Current) {
  if (Received.Target != "/standin/faults")
    return false;

  answerControl(Answer, [&] {
    if (Received.Method == "POST")
      mergeFaults(Current, nlohmann::json::parse(Received.Body));
    return faultsToJson(Current);
  });
  return true;
}

/// Calls that a fault delays or never answers.
///
/// Thread safety: the I/O thread only.
class HeldCalls {
public:
  using ExchangePtr = std::shared_ptr<http::Exchange>;
  using Handler = std::function<void(const http::Request &, ExchangePtr)>;

  explicit HeldCalls(boost::asio::io_context &Io) : Io(Io) {}
  HeldCalls(const HeldCalls &) = delete;
  HeldCalls &operator=(const HeldCalls &) = delete;

  /// Passes the call to \p Next after \p Delay, even if its client has
  /// disconnected.
  void delay(Millis Delay, http::Request Received, ExchangePtr Answer,
             Handler Next) {
    auto Entry = Delayed.insert(
        Delayed.end(),
        DelayedCall{boost::asio::steady_timer(Io), std::move(Received),
                    std::move(Answer), std::move(Next)});
    Entry->Timer.expires_after(Delay);
    Entry->Timer.async_wait([this, Entry](boost::system::error_code Failure) {
      if (Failure)
        return;
      DelayedCall Expired = std::move(*Entry);
      Delayed.erase(Entry);
      Expired.Next(Expired.Received, std::move(Expired.Answer));
    });
  }

  /// Keeps the call unanswered until its client disconnects or dropHanging() is
  /// called.
  void hang(ExchangePtr Answer) {
    http::Exchange *Hung = Answer.get();
    Answer->onCallerDisconnected([this, Hung] {
      std::erase_if(Hanging,
                    [Hung](const auto &Each) { return Each.get() == Hung; });
    });
    Hanging.push_back(std::move(Answer));
  }

  /// Closes the connections of all unanswered calls, as a restart would.
  void dropHanging() { Hanging.clear(); }

private:
  struct DelayedCall {
    boost::asio::steady_timer Timer;
    http::Request Received;
    ExchangePtr Answer;
    Handler Next;
  };

  boost::asio::io_context &Io;
  std::list<DelayedCall> Delayed;
  std::vector<ExchangePtr> Hanging;
};

/// Prints "NAME=ADDRESS:PORT" on standard output for the process that started
/// the stand-in.
inline void printReady(const char *Name, const http::Endpoint &Address) {
  std::printf("%s=%s\n", Name, http::toString(Address).c_str());
  std::fflush(stdout);
}

/// Runs the stand-in that \p Build creates until SIGTERM or SIGINT. Returns the
/// exit status.
template <typename Start> int runStandin(Start Build) {
  try {
    boost::asio::io_context Io(1);
    boost::asio::signal_set Stop(Io, SIGTERM, SIGINT);
    Stop.async_wait([&Io](boost::system::error_code, int) { Io.stop(); });
    auto Standin = Build(Io);
    Io.run();
    return EXIT_SUCCESS;
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "event=standin_failed detail=\"%s\"\n",
                 Failure.what());
    return EXIT_FAILURE;
  }
}

} // namespace daisyspool

#endif // DAISYSPOOL_STANDINS_STANDIN_H
