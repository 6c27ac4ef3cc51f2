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

/// Each caller has its own connection pool, as separate client programs have.
constexpr std::size_t CallerCount = 32;
constexpr std::size_t ConnectionsPerCaller = 512;
constexpr Millis RetryDelay{100};
/// The entry may answer at the deadline itself; the client waits this much
/// longer to receive that answer.
constexpr Millis AnswerGrace{500};
constexpr Millis JobCallTimeout{5000};

/// The classification of one answer by its caller.
enum class AnswerKind { Answered, Refused, Failed, Unknown };

std::string executionField(const http::Response &Answer) {
  auto Document = nlohmann::json::parse(Answer.Body, nullptr, false);
  if (!Document.is_object() || !Document.contains("execution") ||
      !Document["execution"].is_string())
    return "";

  return Document["execution"].get<std::string>();
}

AnswerKind classifyAnswer(const http::Response &Answer) {
  if (Answer.Status >= 200 && Answer.Status < 300)
    return AnswerKind::Answered;
  std::string Executed = executionField(Answer);
  if (Executed == toString(Execution::NotRun))
    return AnswerKind::Refused;
  return Executed == toString(Execution::Unknown) ? AnswerKind::Unknown
                                                  : AnswerKind::Failed;
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

/// Sends one trace item, retries it and records its result.
class Call : public std::enable_shared_from_this<Call> {
public:
  Call(asio::io_context &Io, http::Client &Client, std::string Caller,
       const TraceItem &Item, ItemResult &Result,
       SteadyClock::time_point ReplayStart)
      : Client(Client), Caller(std::move(Caller)), Item(Item), Result(Result),
        ReplayStart(ReplayStart), Started(SteadyClock::now()), RetryTimer(Io) {}
  Call(const Call &) = delete;
  Call &operator=(const Call &) = delete;

  void start() {
    LastProgress = Started;
    attempt();
  }

private:
  Millis elapsed() const {
    return std::chrono::duration_cast<Millis>(SteadyClock::now() - Started);
  }

  /// Time until the timeout. For a stream it is measured from the last event,
  /// because the timeout limits the time between events, not the total time.
  Millis remaining() const {
    auto From = Item.Kind == TraceKind::Stream ? LastProgress : Started;
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
      return Accepted ? pollJob() : submitJob();
    }
  }

  void giveUp() {
    finish(Refused && !MayHaveRun ? ItemStatus::Refused : ItemStatus::Unknown);
  }

  void finish(ItemStatus Status) {
    Result.Status = Status;
    Result.Took = elapsed();
    Result.EndedAt =
        std::chrono::duration_cast<Millis>(SteadyClock::now() - ReplayStart);
    Result.BrokenStream = Events.hasSequenceError();
  }

  void scheduleRetry() {
    RetryTimer.expires_after(RetryDelay);
    RetryTimer.async_wait([Self = shared_from_this()](
                              boost::system::error_code) { Self->attempt(); });
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
    if (Events.nextId() > 0)
      Outgoing.Headers.push_back(
          {"Last-Event-ID", std::to_string(Events.nextId() - 1)});
    return Outgoing;
  }

  void sendRequest() {
    Client.send(serviceRequest(), remaining() + AnswerGrace,
                [Self = shared_from_this()](http::Response Answer,
                                            std::exception_ptr Failure) {
                  if (Failure)
                    return Self->onConnectionError(Failure);
                  Self->onAnswer(Answer);
                });
  }

  void onConnectionError(const std::exception_ptr &Failure) {
    Result.Detail = describe(Failure);
    MayHaveRun = MayHaveRun || mayHaveBeenSent(Failure);
    scheduleRetry();
  }

  void onAnswer(const http::Response &Answer) {
    AnswerKind Kind = classifyAnswer(Answer);
    if (Kind == AnswerKind::Answered) {
      Result.WrongAnswer = !matchesRequest(Answer.Body);
      return finish(ItemStatus::Answered);
    }

    Result.Detail = std::to_string(Answer.Status) + " " + Answer.Body;
    if (Kind == AnswerKind::Failed)
      return finish(ItemStatus::Failed);
    Refused = Kind == AnswerKind::Refused;
    MayHaveRun = MayHaveRun || Kind == AnswerKind::Unknown;
    // A refused retry does not show that an earlier attempt was not run.
    if (Refused && !MayHaveRun && !Item.RetryRefused)
      return finish(ItemStatus::Refused);
    scheduleRetry();
  }

  bool matchesRequest(const std::string &Body) const {
    auto Document = nlohmann::json::parse(Body, nullptr, false);
    return Document.is_object() && Document.contains("request") &&
           Document["request"] == Item.Id && Document.contains("echo") &&
           Document["echo"] == "body of " + Item.Id;
  }

  void sendStream() {
    auto OnChunk = [Self = shared_from_this()](std::string Bytes) {
      std::uint64_t Before = Self->Events.nextId();
      Self->Events.read(Bytes);
      if (Self->Events.nextId() > Before)
        Self->LastProgress = SteadyClock::now();
      return true;
    };
    Client.stream(serviceRequest(), remaining() + AnswerGrace, OnChunk,
                  [Self = shared_from_this()](http::Response Head,
                                              std::exception_ptr Failure) {
                    Self->onStreamEnd(Head.Status, Failure);
                  });
  }

  void onStreamEnd(int Status, const std::exception_ptr &Failure) {
    Events.discardPartialLine();
    if (Events.nextId() >= Item.Events)
      return finish(ItemStatus::Answered);

    Result.Detail = Failure ? describe(Failure) : std::to_string(Status);
    scheduleRetry();
  }

  http::Request jobRequest() const {
    nlohmann::json Task{{"millicores", Item.TaskResources.Cpu.value()},
                        {"memoryMib", Item.TaskResources.Memory.value()},
                        {"command", Item.Command}};
    nlohmann::json Tasks = nlohmann::json::array();
    for (std::uint64_t Index = 0; Index < Item.Tasks; ++Index)
      Tasks.push_back(Task);
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
                    return Self->onConnectionError(Failure);
                  Self->onSubmitted(Answer);
                });
  }

  void onSubmitted(const http::Response &Answer) {
    if (Answer.Status != 202)
      return onAnswer(Answer);

    Accepted = true;
    MayHaveRun = true;
    pollJob();
  }

  void pollJob() {
    http::Request Outgoing{"GET",
                           "/v1/jobs/" + Item.Id + "?wait=yes",
                           {{"Daisyspool-Caller", Caller}},
                           ""};
    Millis Limit = std::max(Millis(1), std::min(remaining(), JobCallTimeout));
    Client.send(std::move(Outgoing), Limit,
                [Self = shared_from_this()](http::Response Answer,
                                            std::exception_ptr Failure) {
                  if (Failure)
                    return Self->onConnectionError(Failure);
                  Self->onJobStatus(Answer);
                });
  }

  void onJobStatus(const http::Response &Answer) {
    Result.Detail = std::to_string(Answer.Status) + " " + Answer.Body;
    auto Document = nlohmann::json::parse(Answer.Body, nullptr, false);
    if (Answer.Status != 200 || !Document.is_object() ||
        !Document.value("ended", false))
      return scheduleRetry();

    bool Succeeded = true;
    for (const auto &Each : Document["tasks"])
      Succeeded = Succeeded && Each.value("outcome", "") == "succeeded";
    finish(Succeeded ? ItemStatus::Answered : ItemStatus::Failed);
  }

  http::Client &Client;
  std::string Caller;
  const TraceItem &Item;
  ItemResult &Result;
  SteadyClock::time_point ReplayStart;
  SteadyClock::time_point Started;
  /// Time of the last event of the stream, or of its start before the first.
  SteadyClock::time_point LastProgress;
  asio::steady_timer RetryTimer;
  EventReader Events;
  bool Accepted = false;
  bool Refused = false;
  bool MayHaveRun = false;
};

/// Starts each item at its scheduled time.
class Replay {
public:
  Replay(const http::Endpoint &Entry, const std::vector<TraceItem> &Items)
      : Items(Items), Results(Items.size()), Timer(Io),
        ReplayStart(SteadyClock::now()) {
    http::Client::Options Config{Entry};
    Config.MaxConnections = ConnectionsPerCaller;
    for (std::size_t Index = 0; Index < CallerCount; ++Index)
      Clients.push_back(std::make_unique<http::Client>(Io, Config));
  }
  Replay(const Replay &) = delete;
  Replay &operator=(const Replay &) = delete;

  std::vector<ItemResult> run() {
    startDueItems();
    Io.run();
    return std::move(Results);
  }

private:
  void startDueItems() {
    while (NextItem < Items.size() &&
           ReplayStart + Items[NextItem].At <= SteadyClock::now()) {
      std::size_t Caller = NextItem % CallerCount;
      std::make_shared<Call>(Io, *Clients[Caller], callerName(Caller),
                             Items[NextItem], Results[NextItem], ReplayStart)
          ->start();
      ++NextItem;
    }
    if (NextItem == Items.size())
      return;

    Timer.expires_at(ReplayStart + Items[NextItem].At);
    Timer.async_wait([this](boost::system::error_code Failure) {
      if (!Failure)
        startDueItems();
    });
  }

  const std::vector<TraceItem> &Items;
  std::vector<ItemResult> Results;
  asio::io_context Io{1};
  asio::steady_timer Timer;
  SteadyClock::time_point ReplayStart;
  std::vector<std::unique_ptr<http::Client>> Clients;
  std::size_t NextItem = 0;
};

} // namespace

std::vector<ItemResult> runTrace(const http::Endpoint &Entry,
                                 const std::vector<TraceItem> &Items) {
  return Replay(Entry, Items).run();
}

} // namespace daisyspool
