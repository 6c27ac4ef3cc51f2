#include "daisyspool/replay/Runner.h"

#include "daisyspool/http/Client.h"
#include "daisyspool/replay/EventReader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>

namespace daisyspool {

namespace {

namespace asio = boost::asio;
using SteadyClock = std::chrono::steady_clock;

/// Each caller has connections of its own, as separate programs would.
constexpr std::size_t Callers = 32;
constexpr std::size_t ConnectionsOfCaller = 512;
constexpr Millis RetryPause{100};
/// The entry answers at the deadline itself; its answer must not be missed.
constexpr Millis AnswerGrace{500};
constexpr Millis JobCallTimeout{5000};

/// What a caller concludes from one answer.
enum class Reading { Answered, Refused, Failed, Unknown };

std::string executionOf(const http::Response &Answer) {
  auto Document = nlohmann::json::parse(Answer.Body, nullptr, false);
  if (!Document.is_object() || !Document.contains("execution") ||
      !Document["execution"].is_string())
    return "";

  return Document["execution"].get<std::string>();
}

Reading readAnswer(const http::Response &Answer) {
  if (Answer.Status >= 200 && Answer.Status < 300)
    return Reading::Answered;
  std::string Executed = executionOf(Answer);
  if (Executed == toString(Execution::NotRun))
    return Reading::Refused;
  return Executed == toString(Execution::Unknown) ? Reading::Unknown
                                                  : Reading::Failed;
}

std::string describe(const std::exception_ptr &Failure) {
  try {
    std::rethrow_exception(Failure);
  } catch (const std::exception &Problem) {
    return Problem.what();
  }
}

bool mayHaveBeenSent(const std::exception_ptr &Failure) {
  try {
    std::rethrow_exception(Failure);
  } catch (const http::ClientError &Problem) {
    return Problem.reason() != http::ClientError::Kind::NotSent;
  } catch (const std::exception &) {
    return true;
  }
}

std::string callerName(std::size_t Caller) {
  return "caller-" + std::to_string(Caller);
}

/// One piece of work from its first attempt to its result.
class Call : public std::enable_shared_from_this<Call> {
public:
  Call(asio::io_context &Io, http::Client &Client, std::string Caller,
       const TraceItem &Item, ItemResult &Result, SteadyClock::time_point Zero)
      : Client(Client), Caller(std::move(Caller)), Item(Item), Result(Result),
        Zero(Zero), Started(SteadyClock::now()), Pause(Io) {}
  Call(const Call &) = delete;
  Call &operator=(const Call &) = delete;

  void start() {
    Progress = Started;
    attempt();
  }

private:
  Millis sinceStart() const {
    return std::chrono::duration_cast<Millis>(SteadyClock::now() - Started);
  }

  /// A stream has no end that could be late; only its silence counts.
  Millis remaining() const {
    auto From = Item.Kind == TraceKind::Stream ? Progress : Started;
    return Item.Timeout -
           std::chrono::duration_cast<Millis>(SteadyClock::now() - From);
  }

  void attempt() {
    if (remaining() <= Millis::zero())
      return giveUp();

    ++Result.Attempts;
    switch (Item.Kind) {
    case TraceKind::Request:
      return sendRequest();
    case TraceKind::Stream:
      return sendStream();
    case TraceKind::Job:
      return Accepted ? askForJob() : submitJob();
    }
  }

  void giveUp() {
    finish(Refused && !MayHaveRun ? Ending::Refused : Ending::Unknown);
  }

  void finish(Ending End) {
    Result.End = End;
    Result.Took = sinceStart();
    Result.EndedAt =
        std::chrono::duration_cast<Millis>(SteadyClock::now() - Zero);
    Result.BrokenStream = Events.broken();
  }

  void tryAgain() {
    Pause.expires_after(RetryPause);
    Pause.async_wait([Self = shared_from_this()](boost::system::error_code) {
      Self->attempt();
    });
  }

  http::Request serviceRequest() const {
    http::Request Outgoing;
    Outgoing.Method = Item.Kind == TraceKind::Stream ? "GET" : "POST";
    Outgoing.Target = "/v1/services/" + Item.Service.str() + Item.Path;
    Outgoing.Headers = {
        {"Daisyspool-Class", daisyspool::toString(Item.Class)},
        {"Daisyspool-Team", Item.Team.str()},
        {"Daisyspool-Caller", Caller},
        {"Daisyspool-Timeout-Ms", std::to_string(remaining().count())},
        {Item.Idempotent ? "Daisyspool-Request-Id" : "Idempotency-Key",
         Item.Id}};
    if (Item.Kind == TraceKind::Request)
      Outgoing.Body = "body of " + Item.Id;
    if (Events.next() > 0)
      Outgoing.Headers.push_back(
          {"Last-Event-ID", std::to_string(Events.next() - 1)});
    return Outgoing;
  }

  void sendRequest() {
    Client.send(serviceRequest(), remaining() + AnswerGrace,
                [Self = shared_from_this()](http::Response Answer,
                                            std::exception_ptr Failure) {
                  if (Failure)
                    return Self->onBroken(Failure);
                  Self->onAnswer(Answer);
                });
  }

  void onBroken(const std::exception_ptr &Failure) {
    Result.Detail = describe(Failure);
    MayHaveRun = MayHaveRun || mayHaveBeenSent(Failure);
    tryAgain();
  }

  void onAnswer(const http::Response &Answer) {
    Reading Read = readAnswer(Answer);
    if (Read == Reading::Answered) {
      Result.WrongAnswer = !isOwnAnswer(Answer.Body);
      return finish(Ending::Answered);
    }

    Result.Detail = std::to_string(Answer.Status) + " " + Answer.Body;
    if (Read == Reading::Failed)
      return finish(Ending::Failed);
    Refused = Read == Reading::Refused;
    MayHaveRun = MayHaveRun || Read == Reading::Unknown;
    // A refusal of a later attempt says nothing of an earlier one.
    if (Refused && !MayHaveRun && !Item.RetryRefused)
      return finish(Ending::Refused);
    tryAgain();
  }

  bool isOwnAnswer(const std::string &Body) const {
    auto Document = nlohmann::json::parse(Body, nullptr, false);
    return Document.is_object() && Document.contains("request") &&
           Document["request"] == Item.Id && Document.contains("echo") &&
           Document["echo"] == "body of " + Item.Id;
  }

  void sendStream() {
    auto OnChunk = [Self = shared_from_this()](std::string Bytes) {
      std::uint64_t Before = Self->Events.next();
      Self->Events.read(Bytes);
      if (Self->Events.next() > Before)
        Self->Progress = SteadyClock::now();
      return true;
    };
    Client.stream(serviceRequest(), remaining() + AnswerGrace, OnChunk,
                  [Self = shared_from_this()](http::Response Head,
                                              std::exception_ptr Failure) {
                    Self->onStreamEnd(Head.Status, Failure);
                  });
  }

  void onStreamEnd(int Status, const std::exception_ptr &Failure) {
    Events.cut();
    if (Events.next() >= Item.Events)
      return finish(Ending::Answered);

    Result.Detail = Failure ? describe(Failure) : std::to_string(Status);
    tryAgain();
  }

  http::Request jobRequest() const {
    nlohmann::json One{{"millicores", Item.Need.Cpu.value()},
                       {"memoryMib", Item.Need.Memory.value()},
                       {"command", Item.Command}};
    nlohmann::json Tasks = nlohmann::json::array();
    for (std::uint64_t Index = 0; Index < Item.Tasks; ++Index)
      Tasks.push_back(One);
    return {"POST",
            "/v1/jobs",
            {{"Content-Type", "application/json"},
             {"Daisyspool-Team", Item.Team.str()},
             {"Daisyspool-Caller", Caller},
             {"Idempotency-Key", Item.Id}},
            nlohmann::json{{"tasks", Tasks}}.dump()};
  }

  void submitJob() {
    Client.send(jobRequest(), JobCallTimeout,
                [Self = shared_from_this()](http::Response Answer,
                                            std::exception_ptr Failure) {
                  if (Failure)
                    return Self->onBroken(Failure);
                  Self->onSubmitted(Answer);
                });
  }

  void onSubmitted(const http::Response &Answer) {
    if (Answer.Status != 202)
      return onAnswer(Answer);

    Accepted = true;
    MayHaveRun = true;
    askForJob();
  }

  void askForJob() {
    http::Request Outgoing{"GET",
                           "/v1/jobs/" + Item.Id + "?wait=yes",
                           {{"Daisyspool-Caller", Caller}},
                           ""};
    Millis Limit = std::max(Millis(1), std::min(remaining(), JobCallTimeout));
    Client.send(std::move(Outgoing), Limit,
                [Self = shared_from_this()](http::Response Answer,
                                            std::exception_ptr Failure) {
                  if (Failure)
                    return Self->onBroken(Failure);
                  Self->onJob(Answer);
                });
  }

  void onJob(const http::Response &Answer) {
    Result.Detail = std::to_string(Answer.Status) + " " + Answer.Body;
    auto Document = nlohmann::json::parse(Answer.Body, nullptr, false);
    if (Answer.Status != 200 || !Document.is_object() ||
        !Document.value("ended", false))
      return tryAgain();

    bool Succeeded = true;
    for (const auto &Each : Document["tasks"])
      Succeeded = Succeeded && Each.value("outcome", "") == "succeeded";
    finish(Succeeded ? Ending::Answered : Ending::Failed);
  }

  http::Client &Client;
  std::string Caller;
  const TraceItem &Item;
  ItemResult &Result;
  SteadyClock::time_point Zero;
  SteadyClock::time_point Started;
  /// Start of the stream, or its last event.
  SteadyClock::time_point Progress;
  asio::steady_timer Pause;
  EventReader Events;
  bool Accepted = false;
  bool Refused = false;
  bool MayHaveRun = false;
};

/// Starts each item at its time.
class Replay {
public:
  Replay(const http::Endpoint &Entry, const std::vector<TraceItem> &Items)
      : Items(Items), Results(Items.size()), Timer(Io),
        Zero(SteadyClock::now()) {
    http::Client::Options Config{Entry};
    Config.MaxConnections = ConnectionsOfCaller;
    for (std::size_t Index = 0; Index < Callers; ++Index)
      Clients.push_back(std::make_unique<http::Client>(Io, Config));
  }
  Replay(const Replay &) = delete;
  Replay &operator=(const Replay &) = delete;

  std::vector<ItemResult> run() {
    startDue();
    Io.run();
    return std::move(Results);
  }

private:
  void startDue() {
    while (Next < Items.size() && Zero + Items[Next].At <= SteadyClock::now()) {
      std::size_t Caller = Next % Callers;
      std::make_shared<Call>(Io, *Clients[Caller], callerName(Caller),
                             Items[Next], Results[Next], Zero)
          ->start();
      ++Next;
    }
    if (Next == Items.size())
      return;

    Timer.expires_at(Zero + Items[Next].At);
    Timer.async_wait([this](boost::system::error_code Failure) {
      if (!Failure)
        startDue();
    });
  }

  const std::vector<TraceItem> &Items;
  std::vector<ItemResult> Results;
  asio::io_context Io{1};
  asio::steady_timer Timer;
  SteadyClock::time_point Zero;
  std::vector<std::unique_ptr<http::Client>> Clients;
  std::size_t Next = 0;
};

} // namespace

std::vector<ItemResult> runTrace(const http::Endpoint &Entry,
                                 const std::vector<TraceItem> &Items) {
  return Replay(Entry, Items).run();
}

} // namespace daisyspool
