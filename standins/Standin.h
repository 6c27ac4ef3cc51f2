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

/// A control call of a stand-in that cannot be understood.
class StandinError : public Error {
  using Error::Error;
};

/// Parses "ADDRESS:PORT" where the port may be 0, which listens on a free one.
/// Throws StandinError.
inline http::Endpoint parseListen(const std::string &Text) {
  if (Text.ends_with(":0")) {
    // Any port stands for the missing one while the address is checked.
    auto Where = http::parseEndpoint(Text.substr(0, Text.size() - 1) + "1");
    if (Where)
      return {Where->Address, 0};
  }
  auto Where = http::parseEndpoint(Text);
  if (!Where)
    throw StandinError("not ADDRESS:PORT: " + Text);

  return *Where;
}

inline http::Response jsonResponse(const nlohmann::json &Document,
                                   int Status = 200) {
  return {Status, {{"Content-Type", "application/json"}}, Document.dump()};
}

/// Options of a port that carries small calls.
inline http::Server::Options controlOptions(const http::Endpoint &Listen) {
  http::Server::Options Result;
  Result.Listen = Listen;
  return Result;
}

/// Fields of a fault switchboard as JSON. \p Faults has a template method
/// fields(Visit) that calls Visit(Name, Field) for each field.
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

/// Answers with what \p Act returns, or 400 if it does not like the call.
inline void answerControl(http::Exchange &Answer,
                          const std::function<nlohmann::json()> &Act) {
  try {
    Answer.respond(jsonResponse(Act()));
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
bool handleFaults(const http::Request &What, http::Exchange &Answer,
                  Faults &Current) {
  if (What.Target != "/standin/faults")
    return false;

  answerControl(Answer, [&] {
    if (What.Method == "POST")
      mergeFaults(Current, nlohmann::json::parse(What.Body));
    return faultsToJson(Current);
  });
  return true;
}

/// Calls that a fault delays or never answers.
///
/// Thread safety: the I/O thread only.
class HeldCalls {
public:
  using Answerer = std::shared_ptr<http::Exchange>;
  using Handler = std::function<void(const http::Request &, Answerer)>;

  explicit HeldCalls(boost::asio::io_context &Io) : Io(Io) {}
  HeldCalls(const HeldCalls &) = delete;
  HeldCalls &operator=(const HeldCalls &) = delete;

  /// Passes the call to \p Next after \p Delay, also if its client has left.
  void delay(Millis Delay, http::Request What, Answerer Answer, Handler Next) {
    auto Entry = Delayed.insert(
        Delayed.end(), Waiting{boost::asio::steady_timer(Io), std::move(What),
                               std::move(Answer), std::move(Next)});
    Entry->Timer.expires_after(Delay);
    Entry->Timer.async_wait([this, Entry](boost::system::error_code Failure) {
      if (Failure)
        return;
      Waiting Due = std::move(*Entry);
      Delayed.erase(Entry);
      Due.Next(Due.What, std::move(Due.Answer));
    });
  }

  /// Keeps the call unanswered until its client leaves or dropHanging().
  void hang(Answerer Answer) {
    http::Exchange *Which = Answer.get();
    Answer->onCallerDisconnected([this, Which] {
      std::erase_if(Hanging,
                    [Which](const auto &Each) { return Each.get() == Which; });
    });
    Hanging.push_back(std::move(Answer));
  }

  /// Closes the connections of calls that hang, as a restart would.
  void dropHanging() { Hanging.clear(); }

private:
  struct Waiting {
    boost::asio::steady_timer Timer;
    http::Request What;
    Answerer Answer;
    Handler Next;
  };

  boost::asio::io_context &Io;
  std::list<Waiting> Delayed;
  std::vector<Answerer> Hanging;
};

/// Writes "NAME=ADDRESS:PORT" for whoever started the stand-in.
inline void printReady(const char *Name, const http::Endpoint &Where) {
  std::printf("%s=%s\n", Name, http::toString(Where).c_str());
  std::fflush(stdout);
}

/// Body of a stand-in's main: \p Start builds it, and it runs until SIGTERM or
/// SIGINT. Returns the exit status.
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
