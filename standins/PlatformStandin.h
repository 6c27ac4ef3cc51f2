#ifndef DAISYSPOOL_STANDINS_PLATFORMSTANDIN_H
#define DAISYSPOOL_STANDINS_PLATFORMSTANDIN_H

#include "DynamoFrontend.h"
#include "Standin.h"
#include "daisyspool/core/Random.h"
#include "daisyspool/http/Server.h"
#include "daisyspool/platform/SignatureV4.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <sstream>

namespace daisyspool {

/// Faults of the platform stand-in; all but the rate limits are off initially.
struct PlatformStandinFaults {
  /// "none"; "refuse" answers 503; "hang" never answers. Calls have no
  /// effect in either case.
  std::string Outage = "none";
  /// Delay before a call takes effect, even if its client has disconnected.
  int SlowMs = 0;
  /// Refuses every call as too fast.
  bool Throttle = false;
  /// Zero means no limit.
  double WritesPerSecond = 500;
  double ReadsPerSecond = 2000;
  /// Number of next writes that take effect and whose connection is then
  /// closed without an answer.
  int LoseAnswers = 0;
  /// Probability that a write loses its answer in this way.
  double LoseAnswerShare = 0;
  /// Number of next calls that take effect and get an answer that violates the
  /// protocol.
  int Nonsense = 0;

  template <typename Function> void fields(Function Visit) {
    Visit("outage", Outage);
    Visit("slow_ms", SlowMs);
    Visit("throttle", Throttle);
    Visit("writes_per_second", WritesPerSecond);
    Visit("reads_per_second", ReadsPerSecond);
    Visit("lose_answers", LoseAnswers);
    Visit("lose_answer_share", LoseAnswerShare);
    Visit("nonsense", Nonsense);
  }
};

/// The platform's table service and object store in one process.
///
/// `POST /standin/faults` changes faults while it runs, and `GET
/// /standin/stats` shows counters; see docs/standins.md. Thread safety: the
/// I/O thread only.
class PlatformStandin {
public:
  struct Options {
    http::Endpoint Listen;
    /// If set, calls without a valid signature by this key are refused.
    std::optional<AccessKey> Key = std::nullopt;
    std::string Region = "us-east-1";
    std::uint64_t Seed = 1;
  };

  PlatformStandin(boost::asio::io_context &Io, Options Config)
      : Config(std::move(Config)), Chance(this->Config.Seed), Held(Io),
        HttpServer(Io, serverOptions(this->Config.Listen),
                   [this](http::Request Received,
                          std::shared_ptr<http::Exchange> Answer) {
                     receive(std::move(Received), std::move(Answer));
                   }) {}
  PlatformStandin(const PlatformStandin &) = delete;
  PlatformStandin &operator=(const PlatformStandin &) = delete;

  http::Endpoint endpoint() const { return HttpServer.endpoint(); }

private:
  using ExchangePtr = std::shared_ptr<http::Exchange>;

  struct Object {
    std::string Bytes;
    std::vector<http::Header> Metadata;
  };

  /// Token bucket of one kind of call; it holds the tokens of one second.
  struct TokenBucket {
    double Tokens = 0;
    TimePoint LastRefill{};

    bool take(double PerSecond, TimePoint Now) {
      if (PerSecond <= 0)
        return true;
      double Passed = std::chrono::duration<double>(Now - LastRefill).count();
      Tokens = std::min(PerSecond, Tokens + Passed * PerSecond);
      LastRefill = Now;
      if (Tokens < 1)
        return false;
      Tokens -= 1;
      return true;
    }
  };

  static http::Server::Options serverOptions(const http::Endpoint &Listen) {
    http::Server::Options Result;
    Result.Listen = Listen;
    Result.MaxBodyBytes = 64 * 1024 * 1024;
    return Result;
  }

  static bool isTableCall(const http::Request &Received) {
    return http::findHeader(Received.Headers, "X-Amz-Target").has_value();
  }

  static bool isWrite(const http::Request &Received) {
    if (isTableCall(Received))
      return DynamoFrontend::operation(Received) == "TransactWriteItems";
    return Received.Method != "GET";
  }

  void receive(http::Request Received, ExchangePtr Answer) {
    if (handleFaults(Received, *Answer, Faults)) {
      // Calls that hang end with the outage, as if the service had restarted.
      if (Faults.Outage != "hang")
        Held.dropHanging();
      return;
    }
    if (Received.Target == "/standin/stats")
      return Answer->respond(jsonResponse(stats()));
    if (Faults.SlowMs <= 0)
      return serve(Received, std::move(Answer));

    Held.delay(Millis(Faults.SlowMs), std::move(Received), std::move(Answer),
               [this](const http::Request &Delayed, ExchangePtr To) {
                 serve(Delayed, std::move(To));
               });
  }

  void serve(const http::Request &Received, ExchangePtr Answer) {
    if (Faults.Outage == "hang") {
      Held.hang(std::move(Answer));
      return;
    }
    if (Faults.Outage == "refuse")
      return Answer->respond({503, {{"Content-Type", "text/plain"}}, "down"});
    if (Config.Key && !hasValidSignature(Received))
      return Answer->respond(errorResponse(
          Received, 403, "SignatureDoesNotMatch", "wrong signature"));
    if (isThrottled(Received)) {
      ++Throttled;
      return Answer->respond(
          isTableCall(Received)
              ? DynamoFrontend::errorResponse("ThrottlingException", "too fast")
              : errorResponse(Received, 503, "SlowDown", "too fast"));
    }

    ++(isWrite(Received) ? Writes : Reads);
    http::Response Result = isTableCall(Received)
                                ? Table.handle(Received, Time.now())
                                : handleObject(Received);
    if (isWrite(Received) && loseAnswer())
      return;
    if (Faults.Nonsense > 0) {
      --Faults.Nonsense;
      Result = invalidResponse(std::move(Result));
    }
    Answer->respond(std::move(Result));
  }

  bool isThrottled(const http::Request &Received) {
    if (Faults.Throttle)
      return true;
    return isWrite(Received)
               ? !WriteBucket.take(Faults.WritesPerSecond, Time.now())
               : !ReadBucket.take(Faults.ReadsPerSecond, Time.now());
  }

  bool loseAnswer() {
    if (Faults.LoseAnswers > 0) {
      --Faults.LoseAnswers;
      return true;
    }
    return Faults.LoseAnswerShare > 0 && Chance.unit() < Faults.LoseAnswerShare;
  }

  /// Replaces the answer by an invalid one, of a different kind at each call.
  http::Response invalidResponse(http::Response Answer) {
    switch (InvalidResponseKind++ % 6) {
    case 0:
      return {200, {{"Content-Type", "text/html"}}, "<html>welcome</html>"};
    case 1:
      return DynamoFrontend::makeResponse(200, R"({"Item":{"Partition":7}})");
    case 2:
      return DynamoFrontend::makeResponse(200, R"([1,2)");
    case 3:
      return DynamoFrontend::errorResponse("NoSuchException", "nonsense", 418);
    case 4:
      return DynamoFrontend::makeResponse(
          200, R"({"Item":{"Partition":{"S":"another"},"Sort":{"S":"row"},)"
               R"("Version":{"N":"1"},"Value":{"B":""}}})");
    default:
      // A damaged body with the checksum of the undamaged one.
      Answer.Body += ' ';
      return Answer;
    }
  }

  http::Response errorResponse(const http::Request &Received, int Status,
                               const std::string &Code,
                               const std::string &Detail) {
    if (isTableCall(Received))
      return DynamoFrontend::errorResponse(Code, Detail, 400);
    return {Status,
            {{"Content-Type", "application/xml"}},
            "<?xml version=\"1.0\" encoding=\"UTF-8\"?><Error><Code>" + Code +
                "</Code><Message>" + Detail + "</Message></Error>"};
  }

  http::Response handleObject(const http::Request &Received) {
    if (Received.Method == "PUT") {
      Object Stored{Received.Body, {}};
      for (const http::Header &Each : Received.Headers)
        if (Each.Name.starts_with("x-amz-meta-"))
          Stored.Metadata.push_back(Each);
      Objects[Received.Target] = std::move(Stored);
      return {200, {{"ETag", '"' + sha256Hex(Received.Body) + '"'}}, {}};
    }
    if (Received.Method == "DELETE") {
      Objects.erase(Received.Target);
      return {204, {}, {}};
    }
    if (Received.Method != "GET")
      return errorResponse(Received, 405, "MethodNotAllowed", Received.Method);

    auto Found = Objects.find(Received.Target);
    if (Found == Objects.end())
      return errorResponse(Received, 404, "NoSuchKey", "no such object");
    http::Response Result{200, Found->second.Metadata, Found->second.Bytes};
    Result.Headers.push_back({"ETag", '"' + sha256Hex(Result.Body) + '"'});
    return Result;
  }

  /// Recomputes the signature over the headers that the client has signed.
  bool hasValidSignature(const http::Request &Received) const {
    std::string Sent =
        http::findHeader(Received.Headers, "Authorization").value_or("");
    std::string Date =
        http::findHeader(Received.Headers, "X-Amz-Date").value_or("");
    const std::string Label = "SignedHeaders=";
    std::size_t From = Sent.find(Label);
    if (From == std::string::npos || Date.size() != 16)
      return false;

    From += Label.size();
    std::istringstream Names(Sent.substr(From, Sent.find(',', From) - From));
    http::Request Covered{Received.Method, Received.Target, {}, Received.Body};
    for (std::string Name; std::getline(Names, Name, ';');)
      Covered.Headers.push_back(
          {Name, http::findHeader(Received.Headers, Name).value_or("")});

    SignatureV4 Signer(*Config.Key, Config.Region,
                       isTableCall(Received) ? "dynamodb" : "s3");
    return Signer.authorization(Covered, Date) == Sent;
  }

  nlohmann::json stats() const {
    return {{"reads", Reads},
            {"writes", Writes},
            {"throttled", Throttled},
            {"rows", Table.table().rows().size()},
            {"objects", Objects.size()}};
  }

  Options Config;
  SystemClock Time;
  Random Chance;
  PlatformStandinFaults Faults;
  DynamoFrontend Table;
  std::map<std::string, Object> Objects;
  TokenBucket WriteBucket;
  TokenBucket ReadBucket;
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Throttled = 0;
  unsigned InvalidResponseKind = 0;
  HeldCalls Held;
  http::Server HttpServer;
};

} // namespace daisyspool

#endif // DAISYSPOOL_STANDINS_PLATFORMSTANDIN_H
